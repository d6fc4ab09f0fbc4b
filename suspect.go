package lavenderridge

import "time"

// A Suspect is a request that was in flight when a backend server crashed.
type Suspect struct {
	Fingerprint Fingerprint
	Service     ServiceID
	// Quarantined is true if the request crashed a backend server while no other
	// request was running there.
	Quarantined bool
	// Cleared is true if the request has succeeded since. The record then only
	// prevents a merge from restoring older records of the request.
	Cleared bool
	// Remaining is the time until the record expires. Of two records, the one of
	// the later event expires later.
	Remaining time.Duration
}
