package lavenderridge

import "time"

// A SuspectStore keeps the requests that are suspected of crashing backend
// servers, and merges what other daemons know of them.
type SuspectStore interface {
	Suspects(t time.Time) []Suspect
	Merge(s []Suspect, t time.Time)
}
