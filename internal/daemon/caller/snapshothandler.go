package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A SnapshotHandler answers a request under the snapshot and the entry with
// which the request began.
type SnapshotHandler interface {
	HandleIn(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error)
}
