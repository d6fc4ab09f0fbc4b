package lavenderridge

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost is returned by Watch if the source no longer holds the changes
// after the requested revision. The reader must then list all facts again.
var ErrHistoryLost = errors.New("lavenderridge: the source no longer holds the changes after the requested revision")

// ErrTooManyChanges is returned by Watch if the changes after the requested revision
// are too large to be read. A listing of all facts is shorter.
var ErrTooManyChanges = errors.New("lavenderridge: the changes after the requested revision are too large")

// A FactSource is a platform's store of published facts. It can only be read.
// Its responses are linearizable, and each call counts against its rate limit.
type FactSource interface {
	// List returns the facts after the key k, which is empty for the first
	// page. The pages of one listing may reflect different revisions, so that
	// together they are no snapshot. The catalogue precedes all facts of the
	// instance list.
	List(c context.Context, k FactKey) (*FactPage, error)
	// Watch returns the changes after the revision r as soon as there are any,
	// or an empty page after the wait w. The error is ErrHistoryLost if the
	// source no longer holds these changes or never had the revision, and
	// ErrTooManyChanges if they are too large. If the era of the page is not the one
	// of r, the page says nothing about the changes after r.
	Watch(c context.Context, r Revision, w time.Duration) (*FactPage, error)
	// Close closes idle connections.
	Close() error
}
