package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

const (
	maxDepth lavenderridge.Depth = 32

	defaultTimeout = 10 * time.Second
)

// An EntryHandler matches a request with its catalogue entry under one
// snapshot, gives it a deadline and passes it on.
type EntryHandler struct {
	readiness lavenderridge.Readiness
	snapshots lavenderridge.SnapshotSource
	clock     lavenderridge.Clock
	instance  lavenderridge.InstanceID
	next      SnapshotHandler
	splitter  *caller.Splitter
}

var _ lavenderridge.Handler = (*EntryHandler)(nil)

// NewEntryHandler returns the handler of the instance i that passes matched
// requests to n while the daemon is ready by v.
func NewEntryHandler(v lavenderridge.Readiness, s lavenderridge.SnapshotSource, k lavenderridge.Clock, i lavenderridge.InstanceID, n SnapshotHandler) *EntryHandler {
	return &EntryHandler{readiness: v, snapshots: s, clock: k, instance: i, next: n, splitter: caller.NewSplitter(rand.Float64())}
}

// Handle implements lavenderridge.Handler.
func (h *EntryHandler) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	p, e := h.enter(c, r)
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

func (h *EntryHandler) enter(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	t := h.clock.Now()
	if e := h.readiness.Ready(t); e != nil {
		return nil, caller.Refuse(r, e)
	}
	s := h.snapshots.Snapshot()
	if s == nil {
		return nil, caller.Refuse(r, notRun(lavenderridge.ReasonNotReady, "no configuration in force yet"))
	}
	e := s.Match(r.Host, r.Method, r.Path)
	if e == nil {
		return nil, caller.Refuse(r, notRun(lavenderridge.ReasonNoRoute, "no entry matches"))
	}
	r.Entry, r.Service, r.Class, r.Idempotent = e.ID, h.splitter.Service(e), e.Class, e.Idempotent
	if r.Depth >= maxDepth {
		return nil, caller.Refuse(r, notRun(lavenderridge.ReasonTooDeep, "too many services passed through"))
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
	return h.next.HandleIn(c, s, e, r)
}

// deadline returns the earlier one of the caller's deadline d and the end of
// the entry's timeout m from t on.
func deadline(d time.Time, m time.Duration, t time.Time) time.Time {
	if m <= 0 {
		m = defaultTimeout
	}
	if u := t.Add(m); d.IsZero() || d.After(u) {
		return u
	}
	return d
}

func notRun(r lavenderridge.Reason, d string) error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, d)
}
