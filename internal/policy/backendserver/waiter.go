package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Waiter is a request that waits for a slot.
type Waiter struct {
	service  *lavenderridge.Service
	class    lavenderridge.Class
	deadline time.Time
	// objective is zero for a request without one.
	objective time.Time
	alone     bool
	decided   chan struct{}
	err       error
}

// Decided is closed when the waiter has a slot or is refused.
func (w *Waiter) Decided() <-chan struct{} {
	return w.decided
}

// Err returns nil when the waiter has a slot, or else a Refusal. It is valid
// once the waiter is decided.
func (w *Waiter) Err() error {
	return w.err
}

func (w *Waiter) decide(e error) {
	w.err = e
	close(w.decided)
}

func (w *Waiter) late(t time.Time) bool {
	return !w.deadline.IsZero() && !t.Before(w.deadline)
}

// precedes reports whether w has an earlier objective than o.
func (w *Waiter) precedes(o *Waiter) bool {
	return !w.objective.IsZero() && (o.objective.IsZero() || w.objective.Before(o.objective))
}
