package lavenderridge

// A LedgerState tells how far the run of a keyed request has come.
type LedgerState uint8

// The states of a ledger record.
const (
	// LedgerRunning tells that the request was given to a backend server.
	LedgerRunning LedgerState = iota + 1
	// LedgerDone tells that the response is known.
	LedgerDone
	// LedgerUnknown tells that the request may have run and that its response
	// will not become known.
	LedgerUnknown
)
