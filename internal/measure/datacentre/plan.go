package datacentre

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Plan describes a measurement.
type Plan struct {
	// Rate is the number of requests per second.
	Rate lavenderridge.Rate
	// Replicas is the number of instances in each of the three data centres.
	Replicas int
	// ServiceTime is how long a backend server takes for a request.
	ServiceTime time.Duration
	// Step is the duration of each of the three phases: before the data centre is
	// taken out of service, while it is out, and after its return.
	Step time.Duration
	// ColdTime is how long after its start a backend server of that data centre can
	// handle only ColdSlots requests concurrently.
	ColdTime  time.Duration
	ColdSlots lavenderridge.Slots
}
