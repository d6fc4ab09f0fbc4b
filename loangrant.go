package lavenderridge

import "time"

// A LoanGrant lends requests out of the quota of one customer.
type LoanGrant struct {
	// Requests is the number lent.
	Requests Requests
	// Wait is the time after which the daemon may ask again; zero if all that was
	// wanted is lent.
	Wait time.Duration
	// Refused is true if the home may not lend now, whatever is left of the quota.
	Refused bool
}
