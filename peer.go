package lavenderridge

import "context"

// A Peer is another daemon. The client of the peer protocol implements it, and
// so does the local daemon for the server of that protocol.
type Peer interface {
	// Handle runs a request at the peer's backend server.
	Handler
	// Exchange compares versions; it serves anti-entropy and announcements.
	Exchange(c context.Context, q *Exchange) (*Exchange, error)
	// Pull fetches one document, as a delta where the peer has one.
	Pull(c context.Context, q *PullRequest) (*PullReply, error)
	// Activate requests the acknowledgement of a membership.
	Activate(c context.Context, q *ActivationRequest) (*ActivationReply, error)
	// HandOver transfers ledger records to their next home.
	HandOver(c context.Context, q *HandOver) (*HandOverReply, error)
	// Borrow asks a home of customers' quotas for a loan.
	Borrow(c context.Context, q *LoanRequest) (*Loan, error)
}
