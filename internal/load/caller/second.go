package caller

import "time"

// A Second is what happened to the requests that were due in one second.
type Second struct {
	// Offset is the beginning of the second, from the beginning of the load.
	Offset time.Duration
	Counts Counts
	P50    time.Duration
	P99    time.Duration
}
