package lavenderridge

// A HandOver transfers ledger records to the daemon that becomes the home of
// their keys.
type HandOver struct {
	Sender  Sender
	Service ServiceID
	Records []LedgerRecord
}
