package backendserver

// ledgerRules disables individual rules of the ledger, so that tests can show
// that each one is needed. The zero value enables all of them.
type ledgerRules struct {
	// evict evicts unexpired entries to make room for new keys.
	evict bool
	// forgetUnknown removes the entry of a run whose outcome is unknown.
	forgetUnknown bool
	// forgetRunning removes the entry of a running request when its key is
	// sent again.
	forgetRunning bool
	// noFingerprint returns the outcome of a key to a request with another
	// fingerprint.
	noFingerprint bool
	// acceptEarlierTime accepts a time earlier than that of the last sweep.
	acceptEarlierTime bool
	// noRecheck omits the second decision, after the entry is stored.
	noRecheck bool
}
