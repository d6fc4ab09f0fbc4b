package operator

import "github.com/lavenderridge/lavenderridge"

// A Row holds what one daemon has counted for one entry in one data centre.
type Row struct {
	Entry      lavenderridge.EntryID
	DataCentre lavenderridge.DataCentreID
	// Success is the part of requests that the entry's objective wants to be
	// good; zero means that the entry has no objective.
	Success lavenderridge.Ratio
	Windows [windowCount]Counts
}
