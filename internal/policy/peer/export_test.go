package peer

import "github.com/lavenderridge/lavenderridge"

// Rules is homeRules, exported for tests outside the package.
type Rules = homeRules

// RulesWithout returns the rules with the rule named n disabled.
func RulesWithout(n string) Rules {
	var r Rules
	m := map[string]*bool{
		"": new(bool), "acknowledgement": &r.activateWithoutAcknowledgements, "every acknowledgement": &r.activateWithHalf,
		"acknowledger's version": &r.acknowledgeAnyVersion, "acknowledger's membership": &r.acknowledgeAnyMembership,
		"fresh request": &r.acceptStaleReplies, "requested since adoption": &r.acceptEarlierMembership, "cleared when the membership changes": &r.keepAcknowledgements,
		"every intermediate membership": &r.skipIntermediateMemberships, "activation before running": &r.runWithoutActivation, "ledger check": &r.noLedgerCheck, "ledger check of moved keys": &r.runsKnownSinceStart,
		"clock skew": &r.noSkew, "fence": &r.noFence, "reset after a pause": &r.noReset,
		"wait for dropped instances": &r.noTakeoverDelay, "exchange with settled homes": &r.countUnsettledExchanges,
		"every list version": &r.allowSkippedVersions, "complete records": &r.acceptIncompleteRecords, "adoption of known versions": &r.noCatchUp, "key lifetime": &r.noExpiry, "keys without a time of issue": &r.noIssueTime,
	}
	*m[n] = true
	return r
}

// SetRules replaces the rules of a by r.
func (a *HomeActivation) SetRules(r Rules) {
	a.rules = r
}

// Daemons returns the number of daemons of which s keeps records.
func (s *SentSuspects) Daemons() int {
	return len(s.known)
}

// Records returns the number of records that s keeps of the instance n.
func (s *SentSuspects) Records(n lavenderridge.InstanceID) int {
	return len(s.known[n].records)
}
