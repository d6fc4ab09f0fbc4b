package caller

import "time"

// A Second contains the counts and latencies of the requests that were due in one
// second of the load.
type Second struct {
	// Offset is the start of the second, measured from the start of the load.
	Offset time.Duration
	Counts Counts
	P50    time.Duration
	P99    time.Duration
}
