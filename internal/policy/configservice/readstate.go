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
	// IsReader is true if the daemon is one of the readers of its data centre, and Rank
	// its rank there, negative if it has none.
	IsReader bool
	Rank     int
	// FleetSize is the number of daemons that share the source.
	FleetSize int
	// FollowAge is the age of the latest word that another daemon follows the source.
	FollowAge time.Duration
	// Failures is the number of consecutive failed calls.
	Failures int
	// Apply is the plan for changes of the source.
	Apply ApplyPlan
	// Revocation is the plan for proofs of the catalogue, and CatalogueAge the age of the
	// accepted one, or the daemon's whole time if there is no proof.
	Revocation   RevocationPlan
	CatalogueAge time.Duration
}

// stepsIn reports whether a daemon that is not a reader reads the source.
func (s ReadState) stepsIn() bool {
	return !s.HasVersion || s.FollowAge >= s.Apply.stepInAge(s.Rank) || s.Revocation.readsSource(s.CatalogueAge)
}
