package lavenderridge

import "time"

// A Health is the state that a backend server's health and load endpoints
// report. It may be out of date and is used only as a hint.
type Health struct {
	Ready    bool
	InFlight Slots
	// Boot identifies the backend server's current run. It may be only the name of
	// the run, which a later one may share, and is empty if the backend server does not
	// report it.
	Boot string
	// Cold is the remaining time for which the backend server is cold.
	Cold time.Duration
	// Notice is the notice in the response to the health check.
	Notice Notice
}
