package lavenderridge

import "time"

// A Readiness tells whether a daemon may route and admit work: it has a
// snapshot in force and has not just woken from a pause.
type Readiness interface {
	// Ready returns nil, or a Refusal with the outcome NotRun.
	Ready(t time.Time) error
}
