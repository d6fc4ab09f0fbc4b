package lavenderridge

import "time"

// A SteadyClock measures time that also passes while the process is paused or its machine
// is suspended, and that no change of the time of day affects.
type SteadyClock interface {
	// Elapsed returns the time since a moment that is fixed for the process.
	Elapsed() time.Duration
}
