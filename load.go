package lavenderridge

import "time"

// LargeResponse is the size from which on a response waits for the others on a
// link. Connections share the link, so that smaller ones pass by.
const LargeResponse = 16 * Kibibyte

// A Load is what a backend server bears at one moment, as its daemon counts.
type Load struct {
	InFlight Slots
	Queued   Slots
	// Limit is the number of requests that the daemon admits at once now.
	Limit Slots
	// Pace is the recent time of requests there, as a part of the objectives of
	// their entries; zero tells that it is not known.
	Pace Ratio
	// Backlog is the time that the responses which are to leave take on the
	// target's link; zero where its rate is not known.
	Backlog time.Duration
}
