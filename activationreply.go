package lavenderridge

import "time"

// An ActivationReply is the response to an ActivationRequest. It acknowledges a
// membership to one incarnation of the requesting daemon. The stamps in Sender
// show a requester with older documents which versions to fetch.
type ActivationReply struct {
	Sender Sender
	// Versions and Membership are copied from the request.
	Versions   Versions
	Membership Digest
	// Incarnation is that of the requesting daemon.
	Incarnation  Incarnation
	Acknowledged bool
	// Settled is true if the responding home has been active since it started
	// or last resumed after a pause of its process.
	Settled bool
	// Stable is the time since the responding daemon started or, if later, since
	// it last adopted an instance list that removed an instance of the service.
	Stable time.Duration
	// Records are ledger records of keys whose home is now the requesting daemon.
	Records []LedgerRecord
	// Whole is true if Records holds every such key that the responding daemon
	// has run.
	Whole bool
}
