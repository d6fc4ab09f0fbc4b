package lavenderridge

import "time"

// A Health is what a backend server's health and load endpoints say. It is a
// hint only.
type Health struct {
	Ready    bool
	InFlight Slots
	// Boot changes when the backend server restarts; it may be empty.
	Boot string
	// Cold is how long the backend server stays cold.
	Cold time.Duration
}
