package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// A RetryHandler makes the attempts of a request that its policy allows. Each
// attempt uses one snapshot from its beginning to its end, and the latest one
// when it begins: a target that refuses because it holds a later version would
// refuse the same attempt again.
type RetryHandler struct {
	policy    *caller.RetryPolicy
	snapshots lavenderridge.SnapshotSource
	clock     lavenderridge.Clock
	next      Attempter
}

var _ SnapshotHandler = (*RetryHandler)(nil)

// NewRetryHandler returns a handler that makes attempts with n by the policy p.
func NewRetryHandler(p *caller.RetryPolicy, s lavenderridge.SnapshotSource, k lavenderridge.Clock, n Attempter) *RetryHandler {
	return &RetryHandler{policy: p, snapshots: s, clock: k, next: n}
}

// HandleIn implements SnapshotHandler.
func (h *RetryHandler) HandleIn(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	h.policy.Begin(r.Service, h.clock.Now())
	var a caller.Attempts
	var x []lavenderridge.InstanceID
	for {
		q := *r
		q.Attempt = a.Count() + 1
		q.NoRetry = r.NoRetry || a.Count() > 0
		n, p, v := h.next.Attempt(c, s, &q, x)
		if v == nil {
			return p, nil
		}
		f := lavenderridge.AsRefusal(v)
		if n == "" {
			return nil, a.Conclude(r, f)
		}
		a.Add(n, f)
		d, o := h.policy.Next(e, r, a.Count(), f, h.clock.Now())
		if !o || lavenderridge.Sleep(c, d) != nil {
			return nil, a.Conclude(r, f)
		}
		x = append(x, n)
		s = h.latest(s, r.Service)
	}
}

// latest returns the snapshot in force, or s when that lacks the service d.
func (h *RetryHandler) latest(s *lavenderridge.Snapshot, d lavenderridge.ServiceID) *lavenderridge.Snapshot {
	if n := h.snapshots.Snapshot(); n != nil && n.Service(d) != nil {
		return n
	}
	return s
}
