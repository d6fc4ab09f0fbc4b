package caller

import (
	"context"
	"fmt"
	"slices"

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
	recorder  lavenderridge.Recorder
}

var _ SnapshotHandler = (*RetryHandler)(nil)

// NewRetryHandler returns a handler that makes attempts with n by the policy p
// and tells d of those that failed.
func NewRetryHandler(p *caller.RetryPolicy, s lavenderridge.SnapshotSource, k lavenderridge.Clock, n Attempter, d lavenderridge.Recorder) *RetryHandler {
	return &RetryHandler{policy: p, snapshots: s, clock: k, next: n, recorder: d}
}

// HandleIn implements SnapshotHandler.
func (h *RetryHandler) HandleIn(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	h.policy.RecordRequest(r.Service, h.clock.Now())
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
		h.record(&q, n, f)
		d, o := h.policy.Next(e, r, &a, f, h.clock.Now())
		if !o || lavenderridge.Sleep(c, d) != nil {
			return nil, a.Conclude(r, f)
		}
		x = h.passedOver(x, s, n, f)
		s = h.latest(s, r.Service)
	}
}

// passedOver returns the instances that the next attempt leaves out: those of x
// and n, which refused with f. When n is out of service, so is most likely all of
// its data centre: an entry may allow fewer attempts than that has instances.
func (h *RetryHandler) passedOver(x []lavenderridge.InstanceID, s *lavenderridge.Snapshot, n lavenderridge.InstanceID, f *lavenderridge.Refusal) []lavenderridge.InstanceID {
	x = append(x, n)
	if f.Reason != lavenderridge.ReasonOutOfService {
		return x
	}
	d := s.Instance(n)
	if d == nil {
		return x
	}
	for _, v := range s.Instances(d.Service) {
		if v.DataCentre == d.DataCentre && !slices.Contains(x, v.ID) {
			x = append(x, v.ID)
		}
	}
	return x
}

// record tells of an attempt of r at the instance n that was refused with f.
func (h *RetryHandler) record(r *lavenderridge.Request, n lavenderridge.InstanceID, f *lavenderridge.Refusal) {
	h.recorder.Record(lavenderridge.Decision{
		Time: h.clock.Now(), Event: "AttemptFailed", Subject: string(r.ID),
		Reason:   fmt.Sprintf("attempt %d at %s (in flight %d, queued %d, limit %d): %s, %s: %s", r.Attempt, n, f.Load.InFlight, f.Load.Queued, f.Load.Limit, f.Reason, f.Outcome, f.Detail),
		Versions: f.Versions,
	})
}

// latest returns the snapshot in force, or s when that lacks the service d.
func (h *RetryHandler) latest(s *lavenderridge.Snapshot, d lavenderridge.ServiceID) *lavenderridge.Snapshot {
	if n := h.snapshots.Snapshot(); n != nil && n.Service(d) != nil {
		return n
	}
	return s
}
