package latency

import "time"

// A Result is the measurement of the calls on one way.
type Result struct {
	Way    Way
	Calls  int
	Failed int
	P50    time.Duration
	P90    time.Duration
	P99    time.Duration
	P999   time.Duration
	// CPU is the processor time per call, summed over callers, daemons and backend
	// servers.
	CPU time.Duration
	// Allocations is the number of heap allocations per call, summed likewise.
	Allocations float64
}
