package lavenderridge

import "time"

// An Objective is the service level that an entry promises its callers.
type Objective struct {
	// Success is the fraction of requests that must be good; zero means that the
	// entry promises none. A request is good if the status of its response is
	// below 500 and it took no longer than Latency.
	Success Ratio
	// Latency is the longest duration of a good request; zero means no bound.
	Latency time.Duration
}
