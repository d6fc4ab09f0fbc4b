package lavenderridge

// A PeerDialer creates clients for other daemons.
type PeerDialer interface {
	// Dial returns the peer at the instance n. It does not wait for a
	// connection; calls on the peer do.
	Dial(n *Instance) Peer
}
