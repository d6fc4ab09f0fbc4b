package lavenderridge

import "time"

// An ActivationReply acknowledges a membership for one incarnation of the
// asker. Its sender's stamps tell an asker that lags what to catch up with.
type ActivationReply struct {
	Sender Sender
	// Versions and Membership are those asked for.
	Versions   Versions
	Membership Digest
	// Incarnation is that of the asker.
	Incarnation  Incarnation
	Acknowledged bool
	// Settled tells that the answering home has been active since it started
	// or last woke from a pause.
	Settled bool
	// Stable is how long ago the answering daemon started or, if later, last
	// adopted an instance list that dropped an instance of the service.
	Stable time.Duration
	// Records are ledger records of keys whose home is now the asker.
	Records []LedgerRecord
	// Whole tells that Records holds every such key that the answering daemon
	// has run.
	Whole bool
}
