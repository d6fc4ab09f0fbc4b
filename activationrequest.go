package lavenderridge

// An ActivationRequest requests an acknowledgement from a listed instance of the
// same service: that it has adopted the sender's membership of the service, or
// a later version with the same membership.
type ActivationRequest struct {
	Sender  Sender
	Service ServiceID
	// Versions are those of the snapshot that Membership was computed from.
	Versions Versions
	// Membership identifies the service's listed instances and which of them
	// may be homes.
	Membership Digest
	// Gathering is true if the sender does not have the acknowledgement yet and
	// therefore also requests the ledger records.
	Gathering bool
}
