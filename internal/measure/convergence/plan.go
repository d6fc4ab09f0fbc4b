package convergence

import "time"

// A Plan describes a measurement.
type Plan struct {
	// Sizes contains the number of daemons of each fleet. The fleets are measured
	// one after the other.
	Sizes []int
	// Listed is the number of instances in the list. Instances without a daemon
	// are listed as leaving, so that no daemon chooses them as a neighbour.
	Listed int
	// Services is the number of services in the catalogue, with two entries
	// each.
	Services int
	// Changes is the number of changes of each document.
	Changes int
	// Rest is how long an idle fleet is observed.
	Rest time.Duration
	// Baseline makes Run measure each size a second time, with every daemon
	// watching the source instead of its neighbours.
	Baseline bool
}
