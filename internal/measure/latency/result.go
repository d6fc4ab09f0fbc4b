package latency

import "time"

// A Result is what calls on one way took.
type Result struct {
	Way    Way
	Calls  int
	Failed int
	P50    time.Duration
	P90    time.Duration
	P99    time.Duration
	P999   time.Duration
	// CPU is the processor time for one call, of callers, daemons and backend
	// servers together.
	CPU time.Duration
	// Allocations is the number of allocations for one call, of all together.
	Allocations float64
}
