package activation

import "time"

// A Plan tells what to measure.
type Plan struct {
	// Instances is the number of instances of the one service, in two data
	// centres.
	Instances int
	// Rest is the time over which the fleet is observed at rest.
	Rest time.Duration
	// Silence is how long the list keeps an instance that does not answer.
	Silence time.Duration
}
