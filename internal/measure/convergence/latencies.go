package convergence

import (
	"slices"
	"time"
)

// Latencies is a summary of the times that daemons took to reach a state.
type Latencies struct {
	// Count is the number of daemons that reached the state, and TimedOut of those
	// that did not within the time limit. The latencies exclude the latter.
	Count    int
	P50      time.Duration
	P99      time.Duration
	Max      time.Duration
	TimedOut int
}

// newLatencies returns the summary of the times a, which it sorts, and x timeouts.
func newLatencies(a []time.Duration, x int) Latencies {
	if len(a) == 0 {
		return Latencies{TimedOut: x}
	}
	slices.Sort(a)
	return Latencies{Count: len(a), P50: a[len(a)/2], P99: a[(len(a)*99)/100], Max: a[len(a)-1], TimedOut: x}
}
