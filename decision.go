package lavenderridge

import "time"

// A Decision is something that a daemon decided, kept so that operators can
// see what happened and why.
type Decision struct {
	Time time.Time
	// Event names the kind of decision, such as "VersionAccepted".
	Event string
	// Subject is what was decided on: a document, an instance, an entry or a
	// request.
	Subject string
	Reason  string
	// Versions are those in force when the decision was taken.
	Versions Versions
}
