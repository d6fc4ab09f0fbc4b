package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A SnapshotHandler handles a request that was matched with the entry e of the snapshot
// s.
type SnapshotHandler interface {
	HandleMatched(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error)
}
