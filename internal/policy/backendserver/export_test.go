package backendserver

// LedgerRules exports ledgerRules to the tests of the package
// backendserver_test.
type LedgerRules = ledgerRules

// LedgerRulesWithout returns the rules with the rule of the name n disabled.
func LedgerRulesWithout(n string) LedgerRules {
	var r LedgerRules
	m := map[string]*bool{
		"unexpired entries stay": &r.evict, "unknown outcomes stay": &r.forgetUnknown, "running entries stay": &r.forgetRunning,
		"fingerprint": &r.noFingerprint, "clock set back": &r.acceptEarlierTime, "decided again": &r.noRecheck,
	}
	*m[n] = true
	return r
}

// SetRules replaces the rules of the ledger by r.
func (l *Ledger) SetRules(r LedgerRules) {
	l.rules = r
}
