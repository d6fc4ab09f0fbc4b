package lavenderridge

import "time"

// A Suspect is a request that was in flight when a backend server crashed.
type Suspect struct {
	Fingerprint Fingerprint
	Service     ServiceID
	// Quarantined tells that it crashed a backend server while alone there.
	Quarantined bool
	// Cleared tells that it succeeded since, and that the record only keeps
	// older ones from coming back.
	Cleared bool
	// Remaining is the time until the record expires. The record of a later
	// event expires later.
	Remaining time.Duration
}
