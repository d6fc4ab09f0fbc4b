package lavenderridge

// A HomeAuthority provides the current KeyAuthority.
type HomeAuthority interface {
	// Authority returns the current authority. It takes no lock.
	Authority() KeyAuthority
	// Changed returns a channel that is closed when the home next becomes
	// active or adopts another version.
	Changed() <-chan struct{}
	// Finished records that the request with the key k is no longer running.
	Finished(k IdempotencyKey)
}
