package peer

// homeRules disables single rules, so that tests can show that each one is
// needed. The zero value disables none.
type homeRules struct {
	// activateWithoutAcknowledgements activates a membership immediately.
	activateWithoutAcknowledgements bool
	// activateWithHalf activates after half of the acknowledgements.
	activateWithHalf bool
	// acknowledgeAnyVersion acknowledges also under versions that are older
	// than those of the requester.
	acknowledgeAnyVersion bool
	// acknowledgeAnyMembership acknowledges a membership whose content differs
	// from its own.
	acknowledgeAnyMembership bool
	// acceptStaleReplies accepts replies to requests that were sent by an
	// earlier incarnation or before the last reset by Tick.
	acceptStaleReplies bool
	// acceptEarlierMembership accepts acknowledgements of an earlier membership.
	acceptEarlierMembership bool
	// keepAcknowledgements keeps acknowledgements when the membership changes.
	keepAcknowledgements bool
	// skipIntermediateMemberships considers only the last active and the present
	// membership, and not those between them.
	skipIntermediateMemberships bool
	// runWithoutActivation runs every key that the present membership assigns to
	// this home.
	runWithoutActivation bool
	// noLedgerCheck runs keys that an earlier home may have run.
	noLedgerCheck bool
	// runsKnownSinceStart assumes that the home knows of every run since its own
	// start, also of keys that it took over later.
	runsKnownSinceStart bool
	// noSkew compares times of issue without the allowance for clock skew.
	noSkew bool
	// noFence runs new keys also without recent exchanges.
	noFence bool
	// noReset stays active after a pause or without exchanges.
	noReset bool
	// noTakeoverDelay activates immediately when the list has dropped an
	// instance.
	noTakeoverDelay bool
	// countUnsettledExchanges counts exchanges with daemons that are not
	// settled.
	countUnsettledExchanges bool
	// allowSkippedVersions stays active although versions of the list were
	// skipped.
	allowSkippedVersions bool
	// acceptIncompleteRecords treats acknowledgements without all records like
	// those with all.
	acceptIncompleteRecords bool
	// noCatchUp runs keys although a later version is known.
	noCatchUp bool
	// noExpiry runs keys past their lifetime.
	noExpiry bool
	// noIssueTime treats a key without a time of issue as just issued.
	noIssueTime bool
}
