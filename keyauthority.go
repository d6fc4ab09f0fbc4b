package lavenderridge

import "time"

// A KeyAuthority decides whether this daemon may run a request whose idempotency
// key has no record in its ledger.
type KeyAuthority interface {
	// Decide returns nil when this daemon is the home of the key k and may run
	// it for the first time at t, or a Refusal. The versions v are the accepted
	// versions of the daemon that sent the request.
	Decide(k IdempotencyKey, v Versions, t time.Time) error
}
