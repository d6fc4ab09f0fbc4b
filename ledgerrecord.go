package lavenderridge

import "time"

// A LedgerRecord is the record that a home stores of a request with an
// idempotency key.
type LedgerRecord struct {
	Key     IdempotencyKey
	Service ServiceID
	State   LedgerState
	// Fingerprint identifies the request, so that another request with the same
	// key is refused.
	Fingerprint Fingerprint
	// Response is nil unless State is LedgerDone.
	Response *Response
	// Expires is the time from which the record may be deleted.
	Expires time.Time
}
