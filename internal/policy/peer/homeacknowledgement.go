package peer

import "time"

// homeAcknowledgement is one instance's acknowledgement of a membership. All
// times are on this daemon's clock.
type homeAcknowledgement struct {
	// requestedAt is when the request was sent.
	requestedAt time.Time
	// stableSince is when the instance started or, if later, last adopted an
	// instance list that dropped an instance of the service. It may be later
	// than the actual time, but never earlier.
	stableSince time.Time
	// complete is true if all ledger records of this daemon's keys came with
	// the acknowledgement.
	complete bool
}
