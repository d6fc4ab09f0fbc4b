package lavenderridge

// An ActivationReply acknowledges a membership version for one incarnation of
// the asker.
type ActivationReply struct {
	Sender Sender
	// Versions is the version asked for, when Acknowledged is set.
	Versions     Versions
	Incarnation  Incarnation
	Acknowledged bool
	// Records are the ledger records that now belong to the asker.
	Records []LedgerRecord
}
