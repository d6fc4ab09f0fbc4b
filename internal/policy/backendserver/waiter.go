package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Waiter is a request in the queue of an Admission.
type Waiter struct {
	service  *lavenderridge.Service
	class    lavenderridge.Class
	deadline time.Time
	// objective is when the latency objective of the request ends; zero for a
	// request without one.
	objective time.Time
	// customer and cost are those of the Arrival, and turn is when it is the customer's
	// turn.
	customer  lavenderridge.CustomerID
	cost      float64
	turn      float64
	exclusive bool // must run with no other request in flight
	decided   chan struct{}
	err       error
}

// Decided returns a channel that is closed when the request is admitted or
// refused.
func (w *Waiter) Decided() <-chan struct{} {
	return w.decided
}

// Err returns nil if the request was admitted, and otherwise a Refusal. It is
// valid once the channel of Decided is closed.
func (w *Waiter) Err() error {
	return w.err
}

func (w *Waiter) decide(e error) {
	w.err = e
	close(w.decided)
}

// missesDeadline reports whether the deadline of w is not after t.
func (w *Waiter) missesDeadline(t time.Time) bool {
	return !w.deadline.IsZero() && !t.Before(w.deadline)
}

// precedes reports whether w is queued ahead of o, which arrived before: its class is
// higher, its customer's turn is earlier, or its objective ends before that of o.
func (w *Waiter) precedes(o *Waiter) bool {
	if w.class != o.class {
		return w.class > o.class
	}
	if a, b := roundOf(w), roundOf(o); a != b {
		return a < b
	}
	return !w.objective.IsZero() && (o.objective.IsZero() || w.objective.Before(o.objective))
}
