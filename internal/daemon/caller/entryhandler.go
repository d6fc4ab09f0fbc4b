package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

const maxDepth lavenderridge.Depth = 32

// An EntryHandler matches a request with its catalogue entry under one
// snapshot, gives it a deadline and passes it on.
type EntryHandler struct {
	snapshots lavenderridge.SnapshotSource
	clock     lavenderridge.Clock
	next      SnapshotHandler
}

var _ lavenderridge.Handler = (*EntryHandler)(nil)

// NewEntryHandler returns a handler that passes matched requests to n.
func NewEntryHandler(s lavenderridge.SnapshotSource, k lavenderridge.Clock, n SnapshotHandler) *EntryHandler {
	return &EntryHandler{snapshots: s, clock: k, next: n}
}

// Handle implements lavenderridge.Handler.
func (h *EntryHandler) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	s := h.snapshots.Snapshot()
	if s == nil {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotReady, "no configuration in force yet")
	}
	e := s.Match(r.Method, r.Path)
	if e == nil {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNoRoute, "no entry matches")
	}
	if r.Depth >= maxDepth {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonTooDeep, "too many services passed through")
	}
	r.Entry, r.Service, r.Class, r.Idempotent = e.ID, e.Service, e.Class, e.Idempotent
	r.Depth++
	d := h.clock.Now().Add(e.Timeout)
	if r.Deadline.IsZero() || r.Deadline.After(d) {
		r.Deadline = d
	}
	c, f := context.WithDeadline(c, r.Deadline)
	defer f()
	return h.next.HandleIn(c, s, e, r)
}
