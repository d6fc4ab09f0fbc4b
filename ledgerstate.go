package lavenderridge

// A LedgerState is the progress of a request with an idempotency key.
type LedgerState uint8

// The states of a ledger record.
const (
	// LedgerRunning means that the request was given to a backend server.
	LedgerRunning LedgerState = iota + 1
	// LedgerDone means that the response is known.
	LedgerDone
	// LedgerUnknown means that the request may have run and that its response is
	// lost.
	LedgerUnknown
)
