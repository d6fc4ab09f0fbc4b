package peer

import "time"

// homeAcknowledgement is what one instance's acknowledgement tells, on this
// daemon's clock.
type homeAcknowledgement struct {
	// asked is when the request was sent.
	asked time.Time
	// stable is when the instance started or last saw another one dropped. It
	// is never too early.
	stable time.Time
	// whole tells that its ledger records came with it.
	whole bool
}
