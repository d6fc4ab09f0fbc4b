package lavenderridge

import "time"

// An Acceptance records when the daemon accepted a version of a document and
// where the version came from.
type Acceptance struct {
	Stamp  Stamp
	Origin Origin
	Time   time.Time
}
