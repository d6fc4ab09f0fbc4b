package lavenderridge

// A HomeAuthority holds the KeyAuthority in force.
type HomeAuthority interface {
	// Authority returns the authority in force. It takes no lock.
	Authority() KeyAuthority
	// Changed returns a channel that is closed when the home next becomes
	// active or adopts another version.
	Changed() <-chan struct{}
	// Finished tells that the run of the key k has ended.
	Finished(k IdempotencyKey)
}
