package peer

// homeRules switches single rules off, so that tests can show that each one is
// needed. The zero value has every rule in force.
type homeRules struct {
	// noAcknowledgement activates without asking.
	noAcknowledgement bool
	// halfAcknowledgement activates after half of the acknowledgements.
	halfAcknowledgement bool
	// anyVersion acknowledges without holding the asker's version.
	anyVersion bool
	// anyMembership acknowledges from a later version with another membership.
	anyMembership bool
	// anyRequest counts replies to requests of an earlier incarnation or from
	// before this one last woke.
	anyRequest bool
	// anyStep counts acknowledgements for an earlier membership.
	anyStep bool
	// keepGathered keeps acknowledgements when the membership changes.
	keepGathered bool
	// endsOnly looks only at the last active and the present membership, not
	// at those passed through between them.
	endsOnly bool
	// noProof runs every key that the present membership gives to this home.
	noProof bool
	// noMemory runs keys that an earlier home may have run.
	noMemory bool
	// startOnly counts memory from the start of the process, and not from that
	// of the instances that acknowledged.
	startOnly bool
	// noSkew compares times of issue without the allowed clock skew.
	noSkew bool
	// noFence goes on without exchanges.
	noFence bool
	// keepActive stays active after a pause or without exchanges.
	keepActive bool
	// noWait activates at once when the list has dropped an instance.
	noWait bool
	// anyContact counts exchanges with daemons that are not settled.
	anyContact bool
	// anySkip stays active although versions of the list were skipped.
	anySkip bool
	// anyRecords trusts acknowledgements that came without all records.
	anyRecords bool
	// noCatchUp goes on although a later version was heard of.
	noCatchUp bool
	// noExpiry runs keys past their lifetime.
	noExpiry bool
	// noIssueTime treats a key without a time of issue as just issued.
	noIssueTime bool
}
