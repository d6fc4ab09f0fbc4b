package lavenderridge

// A SnapshotSource gives the snapshot in force.
type SnapshotSource interface {
	// Snapshot returns the snapshot in force, or nil before the first.
	Snapshot() *Snapshot
}
