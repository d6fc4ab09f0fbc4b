package backendserver

// LedgerRules is ledgerRules for tests outside the package.
type LedgerRules = ledgerRules

// LedgerRulesWithout returns the rules with the one of that name switched off.
func LedgerRulesWithout(n string) LedgerRules {
	var r LedgerRules
	m := map[string]*bool{
		"unexpired entries stay": &r.evict, "unknown outcomes stay": &r.forgetUnknown, "running entries stay": &r.forgetRunning,
		"fingerprint": &r.noFingerprint, "clock set back": &r.noFloor, "decided again": &r.noRecheck,
	}
	*m[n] = true
	return r
}

// SetRules puts the rules r in force.
func (l *Ledger) SetRules(r LedgerRules) {
	l.rules = r
}
