package peer

// Rules is homeRules for tests outside the package.
type Rules = homeRules

// RulesWithout returns the rules with the one of that name switched off.
func RulesWithout(n string) Rules {
	var r Rules
	m := map[string]*bool{
		"": new(bool), "acknowledgement": &r.noAcknowledgement, "every acknowledgement": &r.halfAcknowledgement,
		"acknowledger's version": &r.anyVersion, "acknowledger's membership": &r.anyMembership,
		"own request": &r.anyRequest, "asked since adoption": &r.anyStep, "cleared when the membership changes": &r.keepGathered,
		"every version since": &r.endsOnly, "proof before running": &r.noProof, "memory": &r.noMemory, "memory of moved keys": &r.startOnly,
		"clock skew": &r.noSkew, "fence": &r.noFence, "activation anew after a pause": &r.keepActive,
		"wait for dropped instances": &r.noWait, "exchange with settled homes": &r.anyContact,
		"every list version": &r.anySkip, "whole records": &r.anyRecords, "catching up": &r.noCatchUp, "key lifetime": &r.noExpiry, "keys without a time of issue": &r.noIssueTime,
	}
	*m[n] = true
	return r
}

// SetRules puts the rules r in force.
func (a *HomeActivation) SetRules(r Rules) {
	a.rules = r
}
