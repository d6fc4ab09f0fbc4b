package lavenderridge

import "time"

// A LedgerRecord is what a home remembers of a keyed request.
type LedgerRecord struct {
	Key     IdempotencyKey
	Service ServiceID
	State   LedgerState
	// Fingerprint is that of the request, so that a key used for another
	// request is refused.
	Fingerprint Fingerprint
	Response    *Response
	// Expires is when the record may be dropped.
	Expires time.Time
}
