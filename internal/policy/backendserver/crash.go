package backendserver

import "github.com/lavenderridge/lavenderridge"

// A Crash weighs whether a lost connection means that the backend server
// crashed.
type Crash struct {
	// Unreachable tells that a new connection was refused.
	Unreachable bool
	// Health is what the health endpoint answered; nil when it did not.
	Health *lavenderridge.Health
	// Boot is the boot mark known before.
	Boot string
	// Lost is the number of requests that lost their connection together.
	Lost int
}

// Happened reports whether the backend server crashed. A health endpoint that
// shows the old boot mark lags if several requests were lost together; one that
// shows none says nothing, which counts as a crash.
func (c Crash) Happened() bool {
	if c.Unreachable || c.Lost > 1 {
		return true
	}
	if c.Health == nil {
		return false
	}
	return c.Health.Boot == "" || c.Health.Boot != c.Boot
}
