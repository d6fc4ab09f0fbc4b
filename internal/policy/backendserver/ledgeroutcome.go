package backendserver

import "github.com/lavenderridge/lavenderridge"

// A LedgerOutcome is what became of the run of a keyed request. It never
// changes once made.
type LedgerOutcome struct {
	State lavenderridge.LedgerState
	// Response is set when State is LedgerDone.
	Response *lavenderridge.Response
	// Refusal answers resends in every other state. When it is nil the run was
	// given up before it began, and the request is to be decided on again.
	Refusal *lavenderridge.Refusal
}
