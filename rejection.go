package lavenderridge

import "time"

// A Rejection records why a daemon did not accept a version of a document.
type Rejection struct {
	Document DocumentName
	Version  Version
	Origin   Origin
	Time     time.Time
	// Conflict is true if the daemon has accepted the same version with another
	// digest.
	Conflict bool
	Findings Findings
}
