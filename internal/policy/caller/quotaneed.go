package caller

// A QuotaNeed says when a QuotaAccount should ask a home for a loan.
type QuotaNeed int

const (
	// QuotaNeedNone means that it needs none.
	QuotaNeedNone QuotaNeed = iota
	// QuotaNeedSoon means that it should ask within peer.LoanAskDelay.
	QuotaNeedSoon
	// QuotaNeedNow means that it should ask at once.
	QuotaNeedNow
)
