package convergence

import "time"

// A Plan says what to measure.
type Plan struct {
	// Sizes are the numbers of daemons to run, one after the other.
	Sizes []int
	// Listed is the number of instances in the list. Those without a daemon
	// are listed as leaving, so that nobody chooses them as a neighbour.
	Listed int
	// Services is the number of services in the catalogue, with two entries
	// each.
	Services int
	// Changes is the number of changes of each document.
	Changes int
	// Rest is how long the fleet is observed at rest.
	Rest time.Duration
	// Baseline makes each size run a second time with every daemon watching
	// the source.
	Baseline bool
}
