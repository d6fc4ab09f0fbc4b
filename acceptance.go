package lavenderridge

import "time"

// An Acceptance tells when a version of a document came into force and where
// the daemon got it.
type Acceptance struct {
	Stamp  Stamp
	Origin Origin
	Time   time.Time
}
