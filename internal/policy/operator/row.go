package operator

import "github.com/lavenderridge/lavenderridge"

// A Row holds the requests of one entry in one data centre that one daemon
// counted.
type Row struct {
	Entry      lavenderridge.EntryID
	DataCentre lavenderridge.DataCentreID
	// Success is the fraction of requests that must be good according to the
	// entry's objective; zero means that the entry has no objective.
	Success lavenderridge.Ratio
	Windows [windowCount]Counts
}
