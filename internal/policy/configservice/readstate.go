package configservice

import "time"

// A ReadState holds the conditions that decide whether and when a daemon reads
// the source.
type ReadState struct {
	// HasInstanceList is true if the daemon has an instance list. For a
	// FollowScheduler, the daemon itself must have listed the facts of the
	// source; a list from a neighbour does not count.
	HasInstanceList bool
	// HasVersion is true if a version of the document has been accepted.
	HasVersion bool
	// IsReader is true if the daemon is one of the readers of its data centre.
	IsReader bool
	// FleetSize is the number of daemons that share the source.
	FleetSize int
	// PeerAge is the time since the last message from any neighbour.
	PeerAge time.Duration
	// SourceAge is the time since the source last responded to any daemon, as
	// far as this daemon knows.
	SourceAge time.Duration
	// Failures is the number of consecutive failed calls.
	Failures int
	// Revocation is the plan for proofs of the catalogue, and CatalogueAge the age of the
	// accepted one, or the daemon's whole time if there is no proof.
	Revocation   RevocationPlan
	CatalogueAge time.Duration
}
