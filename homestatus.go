package lavenderridge

// A HomeStatus tells which keyed requests a daemon may run.
type HomeStatus struct {
	// Active tells that every listed instance of the service has acknowledged
	// the membership. An inactive home runs only keys that it has held since
	// it was last active.
	Active bool
	// Fenced tells that the home runs no new key, because it had no exchange
	// with another instance of its service for too long.
	Fenced bool
	// Versions are those of the membership in force.
	Versions Versions
	// Waiting lists the instances whose acknowledgement is missing.
	Waiting []InstanceID
	// Entries counts the keys that the ledger holds.
	Entries int
	// Stored is the size of the stored responses.
	Stored ByteCount
}
