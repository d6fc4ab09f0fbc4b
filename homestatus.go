package lavenderridge

// A HomeStatus describes a home: which requests with an idempotency key the
// daemon may run, and the size of its ledger.
type HomeStatus struct {
	// Active is true if every listed instance of the service has acknowledged
	// the membership. An inactive home runs only keys that it has held since
	// it was last active.
	Active bool
	// Fenced is true if the home runs no new keys because it has had no exchange
	// with another instance of its service for too long.
	Fenced bool
	// Versions are those from which the current membership was computed.
	Versions Versions
	// Waiting lists the instances that have not acknowledged the membership.
	Waiting []InstanceID
	// Entries is the number of keys in the ledger.
	Entries int
	// Stored is the total size of the stored responses.
	Stored ByteCount
}
