package datacentre

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Plan describes a measurement.
type Plan struct {
	// Rate is the number of requests in a second.
	Rate lavenderridge.Rate
	// Replicas is the number of instances in each of the three data centres.
	Replicas    int
	ServiceTime time.Duration
	// Step is the time before the data centre leaves, while it is out, and
	// after it has come back.
	Step time.Duration
	// ColdTime is how long a backend server bears only ColdSlots at once after
	// its start.
	ColdTime  time.Duration
	ColdSlots lavenderridge.Slots
}
