package lavenderridge

// A SnapshotSource provides the current snapshot.
type SnapshotSource interface {
	// Snapshot returns the accepted snapshot, or nil if none has been accepted
	// yet.
	Snapshot() *Snapshot
}
