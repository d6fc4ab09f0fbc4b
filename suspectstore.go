package lavenderridge

import "time"

// A SuspectStore keeps the requests that are suspected of crashing backend
// servers, and merges the records that other daemons send.
type SuspectStore interface {
	// Suspects returns records that have not expired at t. An implementation may
	// limit them to those of the latest events.
	Suspects(t time.Time) []Suspect
	// Merge adds the records s, which arrived at t.
	Merge(s []Suspect, t time.Time)
}
