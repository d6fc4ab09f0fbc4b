package convergence

import (
	"slices"
	"time"
)

// Latencies sums up a set of times.
type Latencies struct {
	Count    int
	P50      time.Duration
	P99      time.Duration
	Max      time.Duration
	TimedOut int
}

func newLatencies(a []time.Duration, x int) Latencies {
	if len(a) == 0 {
		return Latencies{TimedOut: x}
	}
	slices.Sort(a)
	return Latencies{Count: len(a), P50: a[len(a)/2], P99: a[(len(a)*99)/100], Max: a[len(a)-1], TimedOut: x}
}
