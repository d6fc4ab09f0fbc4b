package activation

import "time"

// A Plan describes a measurement.
type Plan struct {
	// Instances is the number of instances of the only service. Half of them are
	// in each of two data centres.
	Instances int
	// Rest is how long an idle fleet is observed.
	Rest time.Duration
	// Silence is how long an instance that does not respond stays in the list.
	Silence time.Duration
}
