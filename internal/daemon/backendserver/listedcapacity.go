package backendserver

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

const (
	// doubtPeriod is the time between health checks of a backend server that
	// may have restarted.
	doubtPeriod = 150 * time.Millisecond
	// coldMargin is kept below the bound of a cold backend server, in requests.
	coldMargin = 3
	// busyPart is the part of the slots from which on there is little room left.
	busyPart = 0.7
	// failingRetryAfter is the wait that a refusal advises while the backend
	// server fails many requests.
	failingRetryAfter = 300 * time.Millisecond
	// minLinkRetry is the least wait that a refusal for the link advises: what a
	// response of 90 kB takes at 15 Mbit/s.
	minLinkRetry = 50 * time.Millisecond
)

// listedCapacity takes what the backend server bears from the instance list in
// place of finding it out.
type listedCapacity struct {
	factor    float64
	slack     float64
	latencies backendserver.EntryAverages[time.Duration]
	sizes     backendserver.EntryAverages[lavenderridge.ByteCount]
	uplink    *backendserver.Uplink
	// throttle lets in less of what the backend server fails.
	throttle *backendserver.FailureThrottle
	// effective is the service as this instance bears it.
	effective atomic.Pointer[effectiveService]
	// seen is the revision of the listing that was taken in last.
	seen atomic.Uint64
}

// effectiveService is a service with the slots of one instance.
type effectiveService struct {
	snapshot *lavenderridge.Snapshot
	service  lavenderridge.Service
}

// WithListedCapacity makes the handler trust the slots and the cold start that
// the instance list tells. A cold backend server gets in a second its rate
// times f and s requests more. Its responses leave over a link of the rate r.
func WithListedCapacity(f, s float64, r lavenderridge.BitRate) OwnerOption {
	return func(h *OwnerHandler) {
		h.listed = &listedCapacity{factor: f, slack: s, throttle: backendserver.NewFailureThrottle(rand.Float64), uplink: backendserver.NewUplink(r)}
		h.limiterOptions = append(h.limiterOptions, backendserver.WithFixedLimit())
	}
}

// service returns the service v as the instance n bears it under s.
func (l *listedCapacity) service(s *lavenderridge.Snapshot, v *lavenderridge.Service, n *lavenderridge.Instance) *lavenderridge.Service {
	if o := l.effective.Load(); o != nil && o.snapshot == s {
		return &o.service
	}
	o := &effectiveService{snapshot: s, service: *v}
	if n.Slots > 0 {
		o.service.Slots = n.Slots
	}
	l.effective.Store(o)
	return &o.service
}

// waitDeadline returns until when r, which comes at the time t, may wait for a
// slot. An answer after the objective is worth little, and one refused early can
// go elsewhere or come again in time. The admission adds the usual latency of
// all requests, which is taken out for that of the entry.
func (h *OwnerHandler) waitDeadline(r *lavenderridge.Request) time.Time {
	if h.listed == nil || r.Objective.IsZero() {
		return r.Deadline
	}
	d := r.Objective.Add(h.limiter.Latency() - h.listed.latencies.Value(r.Entry))
	if !r.Deadline.IsZero() && r.Deadline.Before(d) {
		return r.Deadline
	}
	return d
}

// load returns what the backend server bears under the service v, which may be
// nil.
func (h *OwnerHandler) load(v *lavenderridge.Service) lavenderridge.Load {
	if v == nil && h.listed != nil {
		if o := h.listed.effective.Load(); o != nil {
			v = &o.service
		}
	}
	l := h.admission.Load(v)
	l.Pace = h.pace.Value()
	if h.listed != nil {
		l.Backlog = h.listed.uplink.Backlog()
	}
	return l
}

// learnPace takes in that the request r took d.
func (h *OwnerHandler) learnPace(r *lavenderridge.Request, d time.Duration) {
	s := h.snapshots.Snapshot()
	if s == nil {
		return
	}
	if h.listed != nil {
		h.listed.latencies.Observe(r.Entry, d)
	}
	if e := s.Entry(r.Entry); e != nil {
		h.pace.Observe(d, e.Objective.Latency)
	}
}

// admitListed refuses a request at the time t that a cold or failing backend
// server would not answer.
func (h *OwnerHandler) admitListed(v *lavenderridge.Service, r *lavenderridge.Request, t time.Time) error {
	if h.listed == nil {
		return nil
	}
	if w := h.cold.Wait(h.listed.coldRate(v), h.coldRank(r), t); w > 0 {
		return h.notRun(lavenderridge.ReasonOverloaded, "the backend server is cold", w)
	}
	if h.busy(v, t) && !h.listed.throttle.Admit(r.Entry, t) {
		return h.notRun(lavenderridge.ReasonOverloaded, "the backend server fails many of these requests", failingRetryAfter)
	}
	return nil
}

// reserve counts the response that the request r is expected to bring for the
// daemon's link, and returns its size. It refuses r at the time t when the link
// would carry the response too late for the objective, behind others.
func (h *OwnerHandler) reserve(r *lavenderridge.Request, t time.Time) (lavenderridge.ByteCount, error) {
	if h.listed == nil || h.local(r) {
		return 0, nil
	}
	n, b := h.listed.sizes.Value(r.Entry), h.listed.uplink.Backlog()
	h.listed.uplink.Add(n)
	if n < lavenderridge.LargeResponse || r.Objective.IsZero() || b == 0 {
		return n, nil
	}
	if w := t.Add(h.listed.latencies.Value(r.Entry) + h.listed.uplink.Backlog()).Sub(r.Objective); w > 0 {
		h.listed.uplink.Remove(n)
		return 0, h.notRun(lavenderridge.ReasonOverloaded, "the link would carry the response too late", max(minLinkRetry, min(w, b)))
	}
	return n, nil
}

// release replaces the expected size n of the response p, which is nil when there
// is none, by its own.
func (h *OwnerHandler) release(r *lavenderridge.Request, n lavenderridge.ByteCount, p *lavenderridge.Response) {
	if h.listed == nil || h.local(r) {
		return
	}
	if p != nil {
		h.listed.uplink.Add(lavenderridge.ByteCount(len(p.Body)))
	}
	h.listed.uplink.Remove(n)
}

// local reports whether the response to r does not leave this machine.
func (h *OwnerHandler) local(r *lavenderridge.Request) bool {
	return r.Sender.Instance == h.self().Instance
}

// Sent takes in that a response with a body of n bytes has left for another
// daemon, or will not.
func (h *OwnerHandler) Sent(n lavenderridge.ByteCount) {
	if h.listed != nil {
		h.listed.uplink.Remove(n)
	}
}

// busy reports whether a request that fails would take the place of another.
func (h *OwnerHandler) busy(v *lavenderridge.Service, t time.Time) bool {
	return float64(h.admission.InFlight()) >= busyPart*float64(v.Slots) || h.cold.Busy(h.listed.coldRate(v), t)
}

func (h *OwnerHandler) coldRank(r *lavenderridge.Request) backendserver.ColdStartPriority {
	k := backendserver.ColdStartPriority{Class: r.Class}
	if s := h.snapshots.Snapshot(); s != nil {
		if e := s.Entry(r.Entry); e != nil {
			k.Objective = e.Objective.Latency
		}
	}
	return k
}

// enterCold counts a request that is sent at the time t, or refuses it when the
// backend server is cold and bears no more.
func (h *OwnerHandler) enterCold(v *lavenderridge.Service, r *lavenderridge.Request, t time.Time) error {
	if h.listed == nil {
		return nil
	}
	if w := h.cold.Enter(h.listed.coldRate(v), h.coldRank(r), t); w > 0 {
		return h.notRun(lavenderridge.ReasonOverloaded, "the backend server is cold", w)
	}
	return nil
}

// coldRate returns what a cold backend server of the service v is given in a
// second. The margin keeps requests that are sent in one second and arrive in
// the next within the bound.
func (l *listedCapacity) coldRate(v *lavenderridge.Service) lavenderridge.Rate {
	if v.ColdRate <= 0 {
		return 0
	}
	return max(1, v.ColdRate, lavenderridge.Rate(float64(v.ColdRate)*l.factor+l.slack-coldMargin))
}

// doubt takes the backend server for restarted until a health check tells.
func (h *OwnerHandler) doubt() {
	if h.cold == nil {
		return
	}
	if h.cold.MarkUnconfirmed() {
		h.record("BackendDoubted", "it may have restarted", h.clock.Now())
	}
	select {
	case h.doubted <- struct{}{}:
	default:
	}
}

// runListed settles doubts and takes in what the instance list tells, until c
// ends.
func (h *OwnerHandler) runListed(c context.Context) error {
	for c.Err() == nil {
		h.CheckListing()
		if h.cold.Unconfirmed() {
			h.settle(c)
		}
		k := time.NewTimer(doubtPeriod)
		select {
		case <-k.C:
		case <-h.doubted:
		case <-c.Done():
		}
		k.Stop()
	}
	return nil
}

// CheckListing takes in a listing of this instance that was not seen before.
func (h *OwnerHandler) CheckListing() {
	s := h.snapshots.Snapshot()
	if s == nil {
		return
	}
	t := h.clock.Now()
	_ = h.checkService(s, t)
	n := s.Instance(h.self().Instance)
	if n == nil || h.listed.seen.Swap(uint64(n.Revision)) == uint64(n.Revision) {
		return
	}
	h.cold.ListReported(n.ColdLeft, t)
}

// settle asks the backend server whether it is cold.
func (h *OwnerHandler) settle(c context.Context) {
	p, e := h.probe(c)
	if e != nil {
		return
	}
	t := h.clock.Now()
	// A server that is not cold started long ago.
	var b time.Time
	if s := h.snapshots.Snapshot(); s != nil && p.Cold > 0 {
		if v := s.Service(s.ServiceOf(h.self().Instance)); v != nil {
			b = t.Add(p.Cold - v.ColdStart)
		}
	}
	h.cold.HealthReported(p.Cold, b, t)
	h.record("BackendTold", "cold for "+p.Cold.String(), t)
}
