package lavenderridge

import "time"

// A Decision is the record of one decision of a daemon. Daemons keep recent
// records so that operators can see what happened and why.
type Decision struct {
	Time time.Time
	// Event names the kind of decision, such as "VersionAccepted".
	Event string
	// Subject identifies the document, instance, entry or request that the
	// decision was about.
	Subject string
	Reason  string
	// Versions are the accepted versions at the time of the decision.
	Versions Versions
}
