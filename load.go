package lavenderridge

import "time"

// LargeResponse is the size from which a response waits for other responses on
// the same link. Connections share the link, so smaller responses overtake it.
const LargeResponse = 16 * Kibibyte

// A Load is the load of a backend server at one moment, as its daemon measures it.
type Load struct {
	InFlight Slots
	// Queued is the number of requests that wait for a slot.
	Queued Slots
	// Limit is the number of requests that the daemon currently admits
	// concurrently.
	Limit Slots
	// Pace is the moving average of response time divided by the entry's latency
	// objective; zero means that it is not known.
	Pace Ratio
	// Backlog is the time needed to transmit the pending responses on the
	// target's link; zero if the link's rate is not known.
	Backlog time.Duration
}
