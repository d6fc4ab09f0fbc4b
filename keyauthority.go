package lavenderridge

import "time"

// A KeyAuthority decides whether this daemon may run a keyed request that its
// ledger holds no entry for.
type KeyAuthority interface {
	// Decide returns nil when this daemon is the home of the key k and may run
	// it for the first time at t, or a Refusal. The versions v are those that
	// the sender of the request had in force.
	Decide(k IdempotencyKey, v Versions, t time.Time) error
}
