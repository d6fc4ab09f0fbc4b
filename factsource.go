package lavenderridge

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost is the error of a watch from a revision whose changes the
// source no longer holds. A listing brings the reader up to date.
var ErrHistoryLost = errors.New("the source has dropped the history")

// A FactSource is a platform's store of published facts. It can only be read.
// Its answers are linearizable, and each call counts against its rate.
type FactSource interface {
	// List returns the facts after the key k, which is empty for the first
	// page. The pages of one listing are no snapshot.
	List(c context.Context, k FactKey) (*FactPage, error)
	// Watch returns the changes after the revision r as soon as there are any,
	// or an empty page after the wait w. Its error is ErrHistoryLost when the
	// source no longer holds them.
	Watch(c context.Context, r Revision, w time.Duration) (*FactPage, error)
	// Close ends idle connections.
	Close() error
}
