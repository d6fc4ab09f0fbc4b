package lavenderridge

import "time"

// A Suspect is a request that was in flight when a backend server crashed.
type Suspect struct {
	Fingerprint Fingerprint
	Service     ServiceID
	// Quarantined tells that it crashed a backend server while alone there.
	Quarantined bool
	// Remaining is the time until the record expires.
	Remaining time.Duration
}
