package caller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// A RetryHandler makes the attempts of a request that its policy allows. Each attempt
// uses a single snapshot. Retries use the latest one: a target that refused an attempt
// because it has a later version would refuse it again under the old snapshot.
type RetryHandler struct {
	policy    *caller.RetryPolicy
	snapshots lavenderridge.SnapshotSource
	clock     lavenderridge.Clock
	next      Attempter
	recorder  lavenderridge.Recorder
}

var _ SnapshotHandler = (*RetryHandler)(nil)

// NewRetryHandler returns a handler that makes the attempts that the policy p allows
// with n, and records failed attempts in d.
func NewRetryHandler(p *caller.RetryPolicy, s lavenderridge.SnapshotSource, k lavenderridge.Clock, n Attempter, d lavenderridge.Recorder) *RetryHandler {
	return &RetryHandler{policy: p, snapshots: s, clock: k, next: n, recorder: d}
}

// HandleMatched implements SnapshotHandler.
func (h *RetryHandler) HandleMatched(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	b := h.clock.Now()
	h.policy.RecordRequest(r.Service, b)
	var a caller.Attempts
	var x lavenderridge.Exclusion
	var l *lavenderridge.Refusal // of the last attempt
	var m *lavenderridge.HeardNotice
	for {
		q := *r
		q.Attempt = a.Count() + 1
		q.NoRetry = r.NoRetry || a.Count() > 0
		n, p, v := h.next.Attempt(c, s, &q, x)
		if q.Limited != nil {
			m = q.Limited
		}
		if v == nil {
			if a.Count() > 0 {
				h.policy.Rerouted(r.Service, h.clock.Now())
			}
			if m != nil {
				w := *p
				w.Limited = m
				p = &w
			}
			return h.repeatFailure(c, s, e, r, &a, attempted{instance: n, response: p, began: b, exclusion: x}), nil
		}
		f := lavenderridge.AsRefusal(v)
		if f.Reason == lavenderridge.ReasonBackendLimit {
			m = f.Heard
		}
		if n == "" && x.Refusing && f.Reason != lavenderridge.ReasonBackendLimit {
			// No instance is left. The last one that refused tells more.
			f = l
		}
		if n == "" {
			return nil, a.Conclude(r, f)
		}
		a.Add(n, f)
		l = f
		h.recordFailure(&q, n, f)
		d, o := h.policy.Next(e, r, &a, f, h.clock.Now())
		if !o || lavenderridge.Sleep(c, d) != nil {
			return nil, a.Conclude(r, f)
		}
		x.Instances = h.exclude(x.Instances, s, n, f)
		x.Refusing = h.policy.Reroutes(f)
		if s, v = h.renewSnapshot(s, e, r); v != nil {
			return nil, a.Conclude(r, lavenderridge.AsRefusal(v))
		}
	}
}

// attempted is the result of an attempt that was answered.
type attempted struct {
	instance lavenderridge.InstanceID
	response *lavenderridge.Response
	// began is when the first attempt began, and exclusion contains the instances of
	// the attempts before this one.
	began     time.Time
	exclusion lavenderridge.Exclusion
}

// repeatFailure returns the response of v, or that of a further attempt at another
// instance if v has failed and the policy allows one. Only a response can replace the
// one of v: a refusal would hide that the request has run.
func (h *RetryHandler) repeatFailure(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request, a *caller.Attempts, v attempted) *lavenderridge.Response {
	x := v.exclusion
	x.Refusing = true
	for p, n := v.response, v.instance; ; {
		a.AddResponse()
		t := h.clock.Now()
		if !h.policy.RetriesFailure(e, r, a, p.Status, t.Sub(v.began), t) {
			return p
		}
		h.recorder.Record(lavenderridge.Decision{
			Time: t, Event: "FailureRepeated", Subject: string(r.ID),
			Reason: fmt.Sprintf("attempt %d at %s: status %d", a.Count(), n, p.Status), Versions: s.Versions(),
		})
		x.Instances = append(x.Instances, n)
		var v error
		if s, v = h.renewSnapshot(s, e, r); v != nil {
			return p
		}
		q := *r
		q.Attempt, q.NoRetry = a.Count()+1, true
		i, w, o := h.next.Attempt(c, s, &q, x)
		if o != nil {
			return p
		}
		p, n = w, i
	}
}

// exclude returns the instances that the next attempt excludes: those in x, and n,
// which refused with f. If n is out of service, it also excludes the other instances of
// its data centre, which are most likely out of service too. An entry may allow fewer
// attempts than the data centre has instances, so that trying them in turn could fail.
func (h *RetryHandler) exclude(x []lavenderridge.InstanceID, s *lavenderridge.Snapshot, n lavenderridge.InstanceID, f *lavenderridge.Refusal) []lavenderridge.InstanceID {
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

// recordFailure records the attempt r at the instance n, which was refused with f.
func (h *RetryHandler) recordFailure(r *lavenderridge.Request, n lavenderridge.InstanceID, f *lavenderridge.Refusal) {
	h.recorder.Record(lavenderridge.Decision{
		Time: h.clock.Now(), Event: "AttemptFailed", Subject: string(r.ID),
		Reason:   fmt.Sprintf("attempt %d at %s (in flight %d, queued %d, limit %d): %s, %s: %s", r.Attempt, n, f.Load.InFlight, f.Load.Queued, f.Load.Limit, f.Reason, f.Outcome, f.Detail),
		Versions: f.Versions,
	})
}

// renewSnapshot returns the latest snapshot for another attempt of r, in place of s, or s if
// the latest one lacks the service. It returns a refusal if the latest catalogue is another
// one and r may not run under it, because its key has been taken away.
func (h *RetryHandler) renewSnapshot(s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Snapshot, error) {
	n := h.snapshots.Snapshot()
	if n == nil || n == s {
		return s, nil
	}
	if n.Catalogue != s.Catalogue {
		if v := n.Entry(e.ID); v != nil {
			e = v
		}
		if v := caller.Authenticate(n, e, r); v != nil {
			return s, v
		}
	}
	if n.Service(r.Service) == nil {
		return s, nil
	}
	return n, nil
}
