package lavenderridge

import "time"

// An Objective is the service level that an entry promises its callers.
type Objective struct {
	// Success is the part of requests to be answered well.
	Success Ratio
	// Latency is the time within which an answer counts as good.
	Latency time.Duration
}
