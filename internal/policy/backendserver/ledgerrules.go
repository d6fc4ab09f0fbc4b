package backendserver

// ledgerRules switches single rules off, so that tests can show that each one
// is needed. The zero value has every rule in force.
type ledgerRules struct {
	// evict makes room for new keys by dropping unexpired entries.
	evict bool
	// forgetUnknown drops the entry of a run whose outcome is unknown.
	forgetUnknown bool
	// forgetRunning does not notice that a key is already running.
	forgetRunning bool
	// noFingerprint gives a key's outcome to another request.
	noFingerprint bool
	// noFloor believes a clock that was set back.
	noFloor bool
	// noRecheck does not decide again once the entry is in the ledger.
	noRecheck bool
}
