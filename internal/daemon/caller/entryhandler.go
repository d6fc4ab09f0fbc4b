package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

const (
	// maxDepth is the largest number of services that a request may pass through.
	maxDepth lavenderridge.Depth = 32

	// defaultTimeout applies to entries that set no timeout.
	defaultTimeout = 10 * time.Second
)

// An EntryHandler matches a request with an entry of the current snapshot's
// catalogue, sets its deadline and passes it on. It refuses requests while the daemon
// is not ready.
type EntryHandler struct {
	readiness lavenderridge.Readiness
	snapshots lavenderridge.SnapshotSource
	clock     lavenderridge.Clock
	instance  lavenderridge.InstanceID
	next      SnapshotHandler
	splitter  *caller.Splitter
}

var _ lavenderridge.Handler = (*EntryHandler)(nil)

// NewEntryHandler returns a handler that passes matched requests to n while v reports
// that the daemon is ready. Refusals name the instance i as their place unless they
// name another.
func NewEntryHandler(v lavenderridge.Readiness, s lavenderridge.SnapshotSource, k lavenderridge.Clock, i lavenderridge.InstanceID, n SnapshotHandler) *EntryHandler {
	return &EntryHandler{readiness: v, snapshots: s, clock: k, instance: i, next: n, splitter: caller.NewSplitter(rand.Float64())}
}

// Handle implements lavenderridge.Handler.
func (h *EntryHandler) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	p, e := h.handle(c, r)
	if e == nil {
		return p, nil
	}
	f := lavenderridge.AsRefusal(e)
	if f.Place == "" {
		v := *f
		v.Place = h.instance
		f = &v
	}
	return nil, f
}

// handle returns the response of the next handler, or the refusal that ended the
// request.
func (h *EntryHandler) handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	t := h.clock.Now()
	if e := h.readiness.Ready(t); e != nil {
		return nil, caller.Refuse(r, e)
	}
	s := h.snapshots.Snapshot()
	if s == nil {
		return nil, caller.Refuse(r, notRun(lavenderridge.ReasonNotReady, "no configuration accepted yet"))
	}
	e := s.Match(r.Host, r.Method, r.Path)
	if e == nil {
		return nil, caller.Refuse(r, notRun(lavenderridge.ReasonNoRoute, "no catalogue entry matches the host, method and path"))
	}
	r.Entry, r.Service, r.Class, r.Idempotent = e.ID, h.splitter.Service(e), e.Class, e.Idempotent
	if r.Depth >= maxDepth {
		return nil, caller.Refuse(r, notRun(lavenderridge.ReasonTooDeep, "the request has passed through too many services"))
	}
	if e := caller.CheckKey(r.Key, t); e != nil {
		return nil, e
	}
	r.Depth++
	r.Deadline = deadline(r.Deadline, e.Timeout, t)
	if e.Objective.Latency > 0 {
		r.Objective = t.Add(e.Objective.Latency)
	}
	c, f := context.WithDeadline(c, r.Deadline)
	defer f()
	return h.next.HandleMatched(c, s, e, r)
}

// deadline returns the deadline of a request that arrived at t: the caller's deadline
// d or the end of the entry's timeout m, whichever is earlier.
func deadline(d time.Time, m time.Duration, t time.Time) time.Time {
	if m <= 0 {
		m = defaultTimeout
	}
	if u := t.Add(m); d.IsZero() || d.After(u) {
		return u
	}
	return d
}

// notRun returns a refusal with the outcome NotRun, the reason r and the detail d.
func notRun(r lavenderridge.Reason, d string) error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, d)
}
