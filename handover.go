package lavenderridge

// A HandOver gives ledger records to the daemon that is their home next.
type HandOver struct {
	Sender  Sender
	Service ServiceID
	Records []LedgerRecord
}
