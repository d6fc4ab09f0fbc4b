package backendserver

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

const (
	// maxBlockingTime bounds how long an exclusive request may block others while
	// it waits for the requests in flight to end.
	maxBlockingTime = time.Second
	// defaultExclusiveWait bounds how long a suspect waits while another suspect
	// runs exclusively, and maxWaitingSuspects how many suspects wait. They try
	// again after each exclusiveRetryPeriod.
	defaultExclusiveWait = time.Second
	maxWaitingSuspects   = 256
	exclusiveRetryPeriod = 20 * time.Millisecond
	// unavailableRetryAfter is the retry delay that a refusal advises while this
	// instance takes no requests, so that callers use other instances.
	unavailableRetryAfter = time.Second
)

// An OwnerHandler admits requests to the daemon's own backend server, forwards
// them, and adjusts the limits according to their results.
type OwnerHandler struct {
	snapshots lavenderridge.SnapshotSource
	self      func() lavenderridge.Sender
	backend   lavenderridge.BackendServer

	clock          lavenderridge.Clock
	recorder       lavenderridge.Recorder
	readiness      lavenderridge.Readiness
	limiterOptions []backendserver.LimiterOption
	// freshness is nil unless WithFreshness is used.
	freshness *configservice.FreshnessLimit

	limiter   *backendserver.Limiter
	admission *backendserver.Admission
	suspects  *backendserver.Suspects
	drain     *operator.Drain
	// cold and listed are nil unless WithListedCapacity is used. Without them, the
	// limiter determines the capacity of the backend server.
	cold   *backendserver.ColdStartLimiter
	listed *listedCapacity
	// unconfirmed has a buffer of one. It receives a value when the backend
	// server may have restarted, so that runListed checks its health immediately.
	unconfirmed chan struct{}
	pace        backendserver.Pace
	announced   *backendserver.Announcements
	// leavingCheckedAt is used by the goroutine of Run only.
	leavingCheckedAt time.Time

	exclusiveWait   time.Duration // how long a suspect waits while another runs exclusively
	waitingSuspects atomic.Int64  // number of suspects that wait
	outOfService    atomic.Bool
	runEnded        atomic.Bool // the run has ended since it said that it is leaving
	unreachable     atomic.Bool
	crashedAt       atomic.Int64 // wall time of the last crash, in nanoseconds
	lostConnections atomic.Int64 // requests that lost their connection since the last check for a crash
	requestsSent    atomic.Int64
	lastRefused     atomic.Int64 // wall time of StopAccepting or of the last refusal after it, in nanoseconds
	crashChecks     singleflight.Group
	shares          atomic.Pointer[catalogueShares]
}

// catalogueShares are the shares of the customers of a catalogue.
type catalogueShares struct {
	catalogue *lavenderridge.Catalogue
	shares    *backendserver.FairShares
}

var _ lavenderridge.Handler = (*OwnerHandler)(nil)

// NewOwnerHandler returns a handler that forwards admitted requests to b,
// according to the snapshots of s. The function f returns the sender that
// responses name.
func NewOwnerHandler(s lavenderridge.SnapshotSource, f func() lavenderridge.Sender, b lavenderridge.BackendServer, o ...OwnerOption) *OwnerHandler {
	h := &OwnerHandler{
		snapshots: s, self: f, backend: b, clock: defaults{}, recorder: defaults{}, readiness: defaults{},
		exclusiveWait: defaultExclusiveWait,
		suspects:      backendserver.NewSuspects(), drain: operator.NewDrain(),
		unconfirmed: make(chan struct{}, 1),
	}
	for _, v := range o {
		v(h)
	}
	h.limiter = backendserver.NewLimiter(h.clock.Now(), h.limiterOptions...)
	h.admission = backendserver.NewAdmission(h.limiter)
	h.announced = backendserver.NewAnnouncements(h.clock.Now())
	if h.listed != nil {
		h.cold = backendserver.NewColdStartLimiter(h.clock.Now())
		h.listed.waits = backendserver.NewWaitBound(h.clock.Now())
		h.markUnconfirmed()
	}
	return h
}

// Handle implements lavenderridge.Handler.
func (h *OwnerHandler) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	t := h.clock.Now()
	if !h.drain.Enter() {
		h.lastRefused.Store(t.UnixNano())
		return nil, h.notRun(lavenderridge.ReasonStopping, "the daemon is shutting down", unavailableRetryAfter)
	}
	defer h.drain.Leave()
	v, n, e := h.checkRequest(r, t)
	if e != nil {
		return nil, e
	}
	for b := t; ; t = h.clock.Now() {
		j, w := h.suspects.Disposition(r, t)
		switch j {
		case backendserver.DispositionRefused:
			return nil, h.notRun(lavenderridge.ReasonQuarantined, "the request crashed a backend server", w)
		case backendserver.DispositionNormal:
			return h.handleNormal(c, v, n, r, t)
		}
		p, e := h.handleExclusive(c, v, r, t)
		if e == nil || !h.waitBeforeRetry(c, e, t.Sub(b)) {
			return p, e
		}
	}
}

// waitBeforeRetry waits for exclusiveRetryPeriod if e refuses the request because
// another suspect runs exclusively, and reports whether to try again. By then the
// request may no longer be a suspect, if an identical one has succeeded. The
// request has waited for d already.
func (h *OwnerHandler) waitBeforeRetry(c context.Context, e error, d time.Duration) bool {
	defer h.waitingSuspects.Add(-1)
	if n := h.waitingSuspects.Add(1); n > maxWaitingSuspects || d >= h.exclusiveWait || lavenderridge.AsRefusal(e).Reason != lavenderridge.ReasonSuspectBusy {
		return false
	}
	k := time.NewTimer(exclusiveRetryPeriod)
	defer k.Stop()
	select {
	case <-k.C:
		return true
	case <-c.Done():
		return false
	}
}

// handleNormal handles a request for the run n that is not a suspect.
func (h *OwnerHandler) handleNormal(c context.Context, v *lavenderridge.Service, n lavenderridge.BackendID, r *lavenderridge.Request, t time.Time) (*lavenderridge.Response, error) {
	if w := h.announced.Wait(n, r.Class, t); w > 0 {
		return nil, h.limitRefusal(w)
	}
	if e := h.admitWithinCapacity(v, r, t); e != nil {
		return nil, e
	}
	u, e := h.reserveUplink(r, t)
	if e != nil {
		return nil, e
	}
	p, e := h.runNormal(c, v, r, t)
	h.releaseUplink(r, u, p)
	return p, e
}

// runNormal waits for a slot and runs the request.
func (h *OwnerHandler) runNormal(c context.Context, v *lavenderridge.Service, r *lavenderridge.Request, t time.Time) (*lavenderridge.Response, error) {
	x, e := h.enter(v, r, t)
	if e != nil {
		return nil, h.withPlace(e)
	}
	if x != nil {
		if e := h.wait(c, x); e != nil {
			return nil, h.withPlace(e)
		}
	}
	defer func() { h.admission.Leave(h.clock.Now()) }()
	return h.run(c, v, r, false)
}

// enter asks the admission for a slot. Only a request that finds none free needs the share
// of its customer.
func (h *OwnerHandler) enter(v *lavenderridge.Service, r *lavenderridge.Request, t time.Time) (*backendserver.Waiter, error) {
	if h.admission.TryEnter(v) {
		if h.listed != nil {
			h.listed.waits.SlotFree()
		}
		return nil, nil
	}
	if h.listed != nil {
		h.listed.waits.NoSlotFree(t)
	}
	return h.admission.EnterArrival(v, h.arrival(r, t), t)
}

// arrival returns r as an arrival at the admission at the time t.
func (h *OwnerHandler) arrival(r *lavenderridge.Request, t time.Time) backendserver.Arrival {
	q := backendserver.Arrival{Class: r.Class, Deadline: h.waitDeadline(r, t), Objective: r.Objective}
	if r.Customer != "" {
		q.Customer, q.Cost = r.Customer, h.fairShares().Cost(r.Customer)
	}
	return q
}

// fairShares returns the shares of the customers of the accepted catalogue.
func (h *OwnerHandler) fairShares() *backendserver.FairShares {
	s := h.snapshots.Snapshot()
	if o := h.shares.Load(); o != nil && o.catalogue == s.Catalogue {
		return o.shares
	}
	o := &catalogueShares{catalogue: s.Catalogue, shares: backendserver.NewFairShares(s.Catalogue)}
	h.shares.Store(o)
	return o.shares
}

// handleExclusive handles a suspect: it runs exclusively, while no other request is
// in flight.
func (h *OwnerHandler) handleExclusive(c context.Context, v *lavenderridge.Service, r *lavenderridge.Request, t time.Time) (*lavenderridge.Response, error) {
	w, e := h.admission.EnterExclusive(v, r.Class, r.Deadline, t)
	if e != nil {
		return nil, h.withPlace(e)
	}
	if w != nil {
		x, f := context.WithTimeout(c, maxBlockingTime)
		defer f()
		if e := h.wait(x, w); e != nil {
			return nil, h.withPlace(e)
		}
	}
	defer func() { h.admission.LeaveExclusive(h.clock.Now()) }()
	p, e := h.run(c, v, r, true)
	h.releaseUplink(r, 0, p)
	return p, e
}

// checkRequest returns the service of r with the slots of this instance and the listed
// run of the backend server, or a refusal if this daemon may not run r at the time t.
func (h *OwnerHandler) checkRequest(r *lavenderridge.Request, t time.Time) (*lavenderridge.Service, lavenderridge.BackendID, error) {
	if e := h.readiness.Ready(t); e != nil {
		return nil, "", h.withPlace(e)
	}
	s := h.snapshots.Snapshot()
	if s == nil {
		return nil, "", h.notRun(lavenderridge.ReasonNotReady, "no configuration accepted yet", unavailableRetryAfter)
	}
	if r.Target != h.self().Instance {
		return nil, "", h.notRun(lavenderridge.ReasonWrongTarget, "the request is for another instance", 0)
	}
	v := s.Service(r.Service)
	if v == nil {
		return nil, "", h.notRun(lavenderridge.ReasonNoRoute, "the service is not in the catalogue", 0)
	}
	if e := h.checkEligible(s, t); e != nil {
		return nil, "", e
	}
	n := s.Instance(r.Target)
	h.hearFromSender(r, n.Backend, t)
	if h.announced.Leaving(n.Backend) {
		return nil, "", h.leavingRefusal()
	}
	if h.listed == nil {
		return v, n.Backend, nil
	}
	if n.Service != r.Service || r.Backend != "" && n.Backend != r.Backend {
		return nil, "", h.notRun(lavenderridge.ReasonWrongTarget, "the instance list names another backend server for this instance", 0)
	}
	return h.listed.service(s, v, n), n.Backend, nil
}

// checkFresh returns a refusal if r has a key and the catalogue has become too old to show
// that it is still valid, for example while the machine was suspended and r waited.
func (h *OwnerHandler) checkFresh(r *lavenderridge.Request) error {
	s := h.snapshots.Snapshot()
	if h.freshness == nil || s == nil {
		return nil
	}
	if e := h.freshness.Check(r, s.Versions().Catalogue); e != nil {
		return h.withPlace(e)
	}
	return nil
}

// checkEligible returns a refusal if this instance is not eligible under the
// snapshot s: it is not listed, is leaving, or it or its data centre is out of
// service. When the instance becomes eligible again, the ramp restarts.
func (h *OwnerHandler) checkEligible(s *lavenderridge.Snapshot, t time.Time) error {
	n := s.Instance(h.self().Instance)
	if s.Eligible(n) {
		if h.outOfService.Load() && h.outOfService.CompareAndSwap(true, false) {
			h.limiter.Restart(t)
			h.record("RampRestarted", "back in service", t)
			h.markUnconfirmed()
		}
		return nil
	}
	if h.outOfService.CompareAndSwap(false, true) {
		h.record("TakenOutOfService", "not eligible according to the catalogue or the instance list", t)
	}
	switch {
	case n == nil:
		return h.notRun(lavenderridge.ReasonNotReady, "the instance is not listed", unavailableRetryAfter)
	case n.State != lavenderridge.InstanceLive:
		return h.notRun(lavenderridge.ReasonLeaving, "the instance is leaving", unavailableRetryAfter)
	}
	return h.notRun(lavenderridge.ReasonOutOfService, "the instance or its data centre is out of service", unavailableRetryAfter)
}

// wait returns nil once w has a slot. It returns a refusal if w is refused or c
// ends first.
func (h *OwnerHandler) wait(c context.Context, w *backendserver.Waiter) error {
	select {
	case <-w.Decided():
		return w.Err()
	case <-c.Done():
	}
	if !h.admission.Abandon(w, h.clock.Now()) {
		return w.Err()
	}
	if c.Err() == context.DeadlineExceeded {
		return h.notRun(lavenderridge.ReasonDeadline, "timed out waiting for a slot", 0)
	}
	return h.notRun(lavenderridge.ReasonCancelled, "the caller disconnected", 0)
}

// run forwards an admitted request to the backend server. The flag a is set if it
// runs exclusively. The request is checked again because the instance may have
// gone out of service while it waited.
func (h *OwnerHandler) run(c context.Context, v *lavenderridge.Service, r *lavenderridge.Request, a bool) (*lavenderridge.Response, error) {
	b := h.clock.Now()
	_, n, e := h.checkRequest(r, b)
	if e != nil {
		return nil, e
	}
	if e := h.checkFresh(r); e != nil {
		return nil, e
	}
	if e := h.enterColdStart(v, r, b); e != nil {
		return nil, e
	}
	if w := h.announced.Take(n, r.Class, b); w > 0 {
		return nil, h.limitRefusal(w)
	}
	h.requestsSent.Add(1)
	p, e := h.backend.Handle(c, r)
	t := h.clock.Now()
	if e != nil {
		return nil, h.requestFailed(c, r, a, e, b, t)
	}
	h.responseReceived(r, p, v, t.Sub(b), t)
	p.Load = h.load(v)
	p.Sender = h.self()
	return p, nil
}

// responseReceived records the response p to r, which came at t and took d, and
// adjusts the limit.
func (h *OwnerHandler) responseReceived(r *lavenderridge.Request, p *lavenderridge.Response, v *lavenderridge.Service, d time.Duration, t time.Time) {
	h.unreachable.Store(false)
	h.observePace(r, d)
	if h.listed != nil {
		h.listed.responseSizes.Observe(r.Entry, lavenderridge.ByteCount(len(p.Body)))
	}
	if h.listed != nil {
		h.listed.throttle.Observe(r.Entry, p.Status < http.StatusInternalServerError, t)
	}
	if h.suspects.Succeeded(r, t) {
		h.record("SuspectCleared", "the backend server responded to the request", t)
	}
	o := false
	switch {
	case p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests:
		o = h.limiter.Shed(t)
	case p.Status == http.StatusGatewayTimeout:
		o = h.limiter.TimedOut(d, t)
	case p.Status >= http.StatusInternalServerError:
		o = h.limiter.Erred(t)
	default:
		h.limiter.Succeeded(d, h.admission.InFlight(), v.Slots, t)
	}
	if o {
		h.record("RampRestarted", "burst of refusals or errors", t)
	}
}

// requestFailed records that r ran from b to t and got no response but the error
// e. It adjusts the limit, records a suspect if the backend server crashed, and
// returns the refusal of r. The flag a is set if r ran exclusively.
func (h *OwnerHandler) requestFailed(c context.Context, r *lavenderridge.Request, a bool, e error, b, t time.Time) error {
	f := lavenderridge.AsRefusal(e)
	f.Place, f.Load = h.self().Instance, h.load(nil)
	switch f.Reason {
	case lavenderridge.ReasonWrongTarget:
		h.markUnconfirmed()
	case lavenderridge.ReasonUnreachable:
		h.markUnconfirmed()
		if h.unreachable.CompareAndSwap(false, true) {
			h.limiter.Crashed(t)
			h.record("RampRestarted", "backend server unreachable", t)
		}
	case lavenderridge.ReasonDeadline:
		if f.Outcome == lavenderridge.OutcomeUnknown && h.limiter.TimedOut(t.Sub(b), t) {
			h.record("RampRestarted", "burst of timeouts", t)
		}
	case lavenderridge.ReasonConnectionLost, lavenderridge.ReasonBadResponse:
		h.markUnconfirmed()
		if f.Outcome == lavenderridge.OutcomeUnknown && h.crashedDuring(c, b, t) {
			h.recordSuspect(r, a, f, t)
		}
	}
	return f
}

// recordSuspect records that r was in flight at a crash, and sets the reason of its
// refusal f. The flag a is set if r ran exclusively.
func (h *OwnerHandler) recordSuspect(r *lavenderridge.Request, a bool, f *lavenderridge.Refusal, t time.Time) {
	f.Reason, f.Detail = lavenderridge.ReasonCrashed, "the backend server crashed while it ran the request"
	if h.suspects.Crashed(r, a, t) {
		h.recordSubject("Quarantined", string(r.ID), "the request crashed the backend server while it ran exclusively", t)
	}
}

// notRun returns a refusal with the outcome NotRun that advises the retry delay w.
func (h *OwnerHandler) notRun(r lavenderridge.Reason, d string, w time.Duration) error {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, d)
	f.RetryAfter = w
	return h.withPlace(f)
}

// withPlace adds this instance and its load to the refusal e.
func (h *OwnerHandler) withPlace(e error) error {
	f := lavenderridge.AsRefusal(e)
	f.Place, f.Load = h.self().Instance, h.load(nil)
	return f
}

// record records a decision about this instance.
func (h *OwnerHandler) record(k, d string, t time.Time) {
	h.recordSubject(k, string(h.self().Instance), d, t)
}

// recordSubject records a decision with the event k, the subject s and the reason
// d.
func (h *OwnerHandler) recordSubject(k, s, d string, t time.Time) {
	h.recorder.Record(lavenderridge.Decision{
		Time: t, Event: k, Subject: s, Reason: d, Versions: h.self().Stamps.Versions(),
	})
}
