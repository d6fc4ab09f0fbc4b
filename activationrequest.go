package lavenderridge

// An ActivationRequest asks a listed instance of the same service to hold the
// sender's membership of the service, or a later version with the same
// membership, and to acknowledge it.
type ActivationRequest struct {
	Sender  Sender
	Service ServiceID
	// Versions are those of the snapshot that Membership was taken from.
	Versions Versions
	// Membership identifies the service's listed instances and which of them
	// may be homes.
	Membership Digest
	// Gathering tells that the sender lacks the acknowledgement and so wants
	// the ledger records.
	Gathering bool
}
