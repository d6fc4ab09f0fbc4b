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
	// confirmPeriod is the time between health checks of a backend server that
	// may have restarted.
	confirmPeriod = 150 * time.Millisecond
	// coldMargin is subtracted from the rate limit of a cold backend server, in
	// requests a second; see coldRate.
	coldMargin = 3
	// busyShare is the share of the slots from which the backend server counts as
	// busy.
	busyShare = 0.7
	// failingRetryAfter is the retry delay that a refusal advises while many
	// requests fail at the backend server.
	failingRetryAfter = 300 * time.Millisecond
	// minLinkRetry is the shortest retry delay advised while the link is
	// congested: the time to send a response of 90 kB at 15 Mbit/s.
	minLinkRetry = 50 * time.Millisecond
)

// listedCapacity holds the state of an owner that takes the capacity of its
// backend server from the instance list instead of measuring it.
type listedCapacity struct {
	// factor and slack are the parameters f and s of WithListedCapacity.
	factor        float64
	slack         float64
	waits         *backendserver.WaitBound
	responseSizes backendserver.EntryAverages[lavenderridge.ByteCount]
	uplink        *backendserver.Uplink
	// throttle reduces the load from requests that fail at the backend server.
	throttle *backendserver.FailureThrottle
	// effective is the service with the capacity of this instance.
	effective atomic.Pointer[effectiveService]
	// listedRevision is the revision of this instance's listing that was applied
	// last.
	listedRevision atomic.Uint64
}

// effectiveService is a service with the slots of one instance, computed from
// snapshot.
type effectiveService struct {
	snapshot *lavenderridge.Snapshot
	service  lavenderridge.Service
}

// WithListedCapacity makes the handler use the slots and the cold time from the
// instance list instead of measuring the capacity. A cold backend server receives
// up to its rate times f, plus s, requests a second. The machine's link, over
// which responses are sent, has the rate r.
func WithListedCapacity(f, s float64, r lavenderridge.BitRate) OwnerOption {
	return func(h *OwnerHandler) {
		h.listed = &listedCapacity{factor: f, slack: s, throttle: backendserver.NewFailureThrottle(rand.Float64), uplink: backendserver.NewUplink(r)}
		h.limiterOptions = append(h.limiterOptions, backendserver.WithFixedLimit())
	}
}

// service returns the service v with the slots of the instance n, according to
// the snapshot s. The result is cached until the snapshot changes.
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

// waitDeadline returns the deadline that admission applies to r at the time t. A response
// after the latency objective is worth little, whereas a request that is refused early
// can be sent to another instance or again in time, so the objective bounds the
// wait as well. Admission subtracts the average latency of all requests from the
// deadline; the bound of the wait replaces it.
func (h *OwnerHandler) waitDeadline(r *lavenderridge.Request, t time.Time) time.Time {
	if h.listed == nil || r.Objective.IsZero() {
		return r.Deadline
	}
	d := h.listed.waits.LatestStart(r.Entry, r.Objective, h.objectiveOf(r), t).Add(h.limiter.Latency())
	if !r.Deadline.IsZero() && r.Deadline.Before(d) {
		return r.Deadline
	}
	return d
}

// QueueStanding reports whether requests wait for a slot, and have had to for so long that
// their waits are bounded more tightly.
func (h *OwnerHandler) QueueStanding() bool {
	return h.listed != nil && h.listed.waits.Standing(h.clock.Now()) && h.admission.Load(nil).Queued > 0
}

// objectiveOf returns the latency objective of the entry of r, or zero.
func (h *OwnerHandler) objectiveOf(r *lavenderridge.Request) time.Duration {
	if s := h.snapshots.Snapshot(); s != nil {
		if e := s.Entry(r.Entry); e != nil {
			return e.Objective.Latency
		}
	}
	return 0
}

// load returns the load of the backend server, with its limit under the service
// v. If v is nil, the limit is that of the effective service, or zero.
func (h *OwnerHandler) load(v *lavenderridge.Service) lavenderridge.Load {
	if v == nil && h.listed != nil {
		if o := h.listed.effective.Load(); o != nil {
			v = &o.service
		}
	}
	l := h.admission.Load(v)
	l.Limit = h.limitedSlots(l.Limit)
	l.Pace = h.pace.Value()
	if h.listed != nil {
		l.Backlog = h.listed.uplink.Backlog()
	}
	return l
}

// observePace records the duration d of the request r, for the pace and for the
// latency of its entry.
func (h *OwnerHandler) observePace(r *lavenderridge.Request, d time.Duration) {
	s := h.snapshots.Snapshot()
	if s == nil {
		return
	}
	if h.listed != nil {
		h.listed.waits.Observe(r.Entry, d)
	}
	if e := s.Entry(r.Entry); e != nil {
		h.pace.Observe(d, e.Objective.Latency)
	}
}

// admitWithinCapacity refuses the request r at the time t if a cold backend
// server would exceed its rate, or if the backend server is busy and many
// requests of the same entry fail.
func (h *OwnerHandler) admitWithinCapacity(v *lavenderridge.Service, r *lavenderridge.Request, t time.Time) error {
	if h.listed == nil {
		return nil
	}
	if w := h.cold.Wait(h.listed.coldRate(v), h.coldStartPriority(r), t); w > 0 {
		return h.notRun(lavenderridge.ReasonOverloaded, "the backend server is cold or may be", w)
	}
	if h.busy(v, t) && !h.listed.throttle.Admit(r.Entry, t) {
		return h.notRun(lavenderridge.ReasonOverloaded, "many requests of this entry fail at the backend server", failingRetryAfter)
	}
	return nil
}

// reserveUplink adds the expected size of the response to r to the backlog of the
// machine's link and returns it. It refuses r at the time t if the link would send
// the response after the latency objective because of the responses before it.
func (h *OwnerHandler) reserveUplink(r *lavenderridge.Request, t time.Time) (lavenderridge.ByteCount, error) {
	if h.listed == nil || h.isLocal(r) {
		return 0, nil
	}
	n, b := h.listed.responseSizes.Value(r.Entry), h.listed.uplink.Backlog()
	h.listed.uplink.Add(n)
	if n < lavenderridge.LargeResponse || r.Objective.IsZero() || b == 0 {
		return n, nil
	}
	if w := t.Add(h.listed.waits.Usual(r.Entry) + h.listed.uplink.Backlog()).Sub(r.Objective); w > 0 {
		h.listed.uplink.Remove(n)
		return 0, h.notRun(lavenderridge.ReasonOverloaded, "the link is congested and would send the response after the objective", max(minLinkRetry, min(w, b)))
	}
	return n, nil
}

// releaseUplink replaces the expected size n of the response to r in the link's
// backlog by the size of p, which is nil if there is no response.
func (h *OwnerHandler) releaseUplink(r *lavenderridge.Request, n lavenderridge.ByteCount, p *lavenderridge.Response) {
	if h.listed == nil || h.isLocal(r) {
		return
	}
	if p != nil {
		h.listed.uplink.Add(lavenderridge.ByteCount(len(p.Body)))
	}
	h.listed.uplink.Remove(n)
}

// isLocal reports whether r came through this daemon, so that its response does not
// use the link.
func (h *OwnerHandler) isLocal(r *lavenderridge.Request) bool {
	return r.Sender.Instance == h.self().Instance
}

// ResponseSent removes a response with a body of n bytes from the link's backlog,
// after it was sent to another daemon or will not be sent.
func (h *OwnerHandler) ResponseSent(n lavenderridge.ByteCount) {
	if h.listed != nil {
		h.listed.uplink.Remove(n)
	}
}

// busy reports whether the backend server is so busy that a request that fails
// would take the slot of another one.
func (h *OwnerHandler) busy(v *lavenderridge.Service, t time.Time) bool {
	return float64(h.admission.InFlight()) >= busyShare*float64(v.Slots) || h.cold.Busy(h.listed.coldRate(v), t)
}

// coldStartPriority returns the priority of r at a cold backend server.
func (h *OwnerHandler) coldStartPriority(r *lavenderridge.Request) backendserver.ColdStartPriority {
	return backendserver.ColdStartPriority{Class: r.Class, Objective: h.objectiveOf(r)}
}

// enterColdStart counts a request that is sent at the time t, or refuses it if a
// cold backend server would exceed its rate.
func (h *OwnerHandler) enterColdStart(v *lavenderridge.Service, r *lavenderridge.Request, t time.Time) error {
	if h.listed == nil {
		return nil
	}
	a := h.listed.coldRate(v)
	w := h.cold.Enter(a, h.coldStartPriority(r), t)
	if h.cold.ProofDue(a, t) {
		h.wakeCheck()
	}
	if w > 0 {
		return h.notRun(lavenderridge.ReasonOverloaded, "the backend server is cold", w)
	}
	return nil
}

// coldRate returns the rate limit of a cold backend server of the service v, which
// is at least its listed rate. The margin is for requests that are sent in one
// second and arrive in the next, where they must not exceed the limit.
func (l *listedCapacity) coldRate(v *lavenderridge.Service) lavenderridge.Rate {
	if v.ColdRate <= 0 {
		return 0
	}
	return max(1, v.ColdRate, lavenderridge.Rate(float64(v.ColdRate)*l.factor+l.slack-coldMargin))
}

// markUnconfirmed marks the backend server as unconfirmed, because it may have
// restarted, until a health check reports its cold time. It triggers that check.
func (h *OwnerHandler) markUnconfirmed() {
	if h.cold == nil {
		return
	}
	if h.cold.MarkUnconfirmed() {
		h.record("BackendDoubted", "the backend server may have restarted", h.clock.Now())
	}
	h.wakeCheck()
}

// wakeCheck makes runListed check the health of the backend server at once.
func (h *OwnerHandler) wakeCheck() {
	select {
	case h.unconfirmed <- struct{}{}:
	default:
	}
}

// runListed applies changes of this instance's listing, and checks the health of
// the backend server while it is unconfirmed or due to be proved warm, until c ends.
func (h *OwnerHandler) runListed(c context.Context) error {
	for c.Err() == nil {
		h.CheckListing()
		switch {
		case h.cold.Unconfirmed():
			h.confirm(c, h.backend.Probe)
		case h.cold.ProofDue(h.ownColdRate(), h.clock.Now()):
			if !h.confirm(c, h.backend.Recheck) {
				h.confirm(c, h.backend.Probe)
			}
		}
		h.checkLeaving(c)
		k := time.NewTimer(confirmPeriod)
		select {
		case <-k.C:
		case <-h.unconfirmed:
		case <-c.Done():
		}
		k.Stop()
	}
	return nil
}

// CheckListing applies the listing of this instance in the accepted snapshot, if
// its revision is new.
func (h *OwnerHandler) CheckListing() {
	s := h.snapshots.Snapshot()
	if s == nil {
		return
	}
	t := h.clock.Now()
	_ = h.checkEligible(s, t)
	n := s.Instance(h.self().Instance)
	if n == nil || h.listed.listedRevision.Swap(uint64(n.Revision)) == uint64(n.Revision) {
		return
	}
	h.cold.ListReported(n.ColdLeft, t)
}

// ownColdRate returns the rate limit of the backend server when it is cold, or zero if it
// is unknown.
func (h *OwnerHandler) ownColdRate() lavenderridge.Rate {
	if o := h.listed.effective.Load(); o != nil {
		return h.listed.coldRate(&o.service)
	}
	return 0
}

// confirm queries the health endpoint with f for how long the backend server stays cold.
// If it does not respond, the backend server stays as it is, and confirm reports false.
func (h *OwnerHandler) confirm(c context.Context, f func(context.Context) (lavenderridge.Health, error)) bool {
	a, u := h.clock.Now(), h.cold.Unconfirmed()
	p, e := h.probeWith(c, f)
	if e != nil {
		return false
	}
	t := h.clock.Now()
	// The start time b follows from the remaining cold time. It stays zero, long
	// ago, if the backend server is no longer cold.
	var b time.Time
	if s := h.snapshots.Snapshot(); s != nil && p.Cold > 0 {
		if v := s.Service(s.ServiceOf(h.self().Instance)); v != nil {
			b = t.Add(p.Cold - v.ColdStart)
		}
	}
	h.cold.HealthReported(p.Cold, b, a, t)
	h.hearHealth(p, t)
	if u || p.Cold > 0 {
		h.record("BackendTold", "cold for "+p.Cold.String(), t)
	}
	return true
}
