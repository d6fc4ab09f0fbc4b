package lavenderridge

import "time"

// A Rejection tells why a version of a document did not come into force.
type Rejection struct {
	Document DocumentName
	Version  Version
	Origin   Origin
	Time     time.Time
	// Conflict tells that the version is in force with another digest.
	Conflict bool
	Findings Findings
}
