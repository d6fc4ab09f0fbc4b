package lavenderridge

import "time"

// An Objective is the service level that an entry promises its callers.
type Objective struct {
	// Success is the fraction of requests that must succeed within Latency.
	Success Ratio
	// Latency is the longest duration of a request that still counts as good.
	Latency time.Duration
}
