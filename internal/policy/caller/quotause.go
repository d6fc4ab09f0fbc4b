package caller

// A QuotaUse is one request that a QuotaAccount has admitted.
type QuotaUse struct {
	// loan is nil if the request was admitted out of the daemon's own share.
	loan *quotaLoan
	// slot and until are the place in the share that it took and when that is free.
	slot  int
	until int64
}
