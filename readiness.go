package lavenderridge

import "time"

// A Readiness reports whether a daemon may route and admit requests: it has an
// accepted snapshot and has not just resumed after a pause of its process.
type Readiness interface {
	// Ready returns nil if the daemon is ready at t, or else a Refusal with the
	// outcome NotRun.
	Ready(t time.Time) error
}
