package lavenderridge

import "time"

// A SuspectStore keeps the requests that are suspected of crashing backend
// servers, and merges the records that other daemons send.
type SuspectStore interface {
	Suspects(t time.Time) []Suspect
	Merge(s []Suspect, t time.Time)
}
