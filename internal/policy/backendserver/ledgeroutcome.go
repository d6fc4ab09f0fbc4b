package backendserver

import "github.com/lavenderridge/lavenderridge"

// A LedgerOutcome is the result of running a keyed request. It is immutable.
type LedgerOutcome struct {
	State lavenderridge.LedgerState
	// Response is set when State is LedgerDone.
	Response *lavenderridge.Response
	// Refusal is the response to resends in every other state. If it is nil,
	// the run was abandoned before it began, and a resend has to be decided on
	// anew.
	Refusal *lavenderridge.Refusal
}
