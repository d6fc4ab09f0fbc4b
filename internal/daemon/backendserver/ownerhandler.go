package backendserver

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

const (
	// aloneTimeout bounds how long a request that must run alone may hold up
	// others while it waits for them to end.
	aloneTimeout = time.Second
	// defaultPatience bounds how long a suspect waits while another runs alone,
	// and maxSuspectsWaiting how many do.
	defaultPatience    = time.Second
	maxSuspectsWaiting = 256
	trialPeriod        = 20 * time.Millisecond
	// leavingRetryAfter is the wait that a refusal advises when other
	// instances should be asked instead.
	leavingRetryAfter = time.Second
)

// An OwnerHandler admits requests to the daemon's own backend server and
// learns from their results what that server bears.
type OwnerHandler struct {
	snapshots lavenderridge.SnapshotSource
	self      func() lavenderridge.Sender
	backend   lavenderridge.BackendServer

	clock          lavenderridge.Clock
	recorder       lavenderridge.Recorder
	readiness      lavenderridge.Readiness
	limiterOptions []backendserver.LimiterOption

	limiter   *backendserver.Limiter
	admission *backendserver.Admission
	suspects  *backendserver.Suspects
	drain     *backendserver.Drain
	// cold is nil where the limiter finds out what the backend server bears.
	cold    *backendserver.ColdStartLimiter
	listed  *listedCapacity
	doubted chan struct{}
	pace    backendserver.Pace

	patience     time.Duration
	patient      atomic.Int64
	outOfService atomic.Bool
	unreachable  atomic.Bool
	crashedAt    atomic.Int64 // wall time of the last crash, in nanoseconds
	lost         atomic.Int64 // requests that lost their connection since the last check
	lastRefused  atomic.Int64 // wall time of the last refusal while stopping, in nanoseconds
	checks       singleflight.Group
}

var _ lavenderridge.Handler = (*OwnerHandler)(nil)

// NewOwnerHandler returns a handler that passes admitted requests to b. The
// function f gives the sender of replies.
func NewOwnerHandler(s lavenderridge.SnapshotSource, f func() lavenderridge.Sender, b lavenderridge.BackendServer, o ...OwnerOption) *OwnerHandler {
	h := &OwnerHandler{
		snapshots: s, self: f, backend: b, clock: defaults{}, recorder: defaults{}, readiness: defaults{},
		patience: defaultPatience,
		suspects: backendserver.NewSuspects(), drain: backendserver.NewDrain(),
		doubted: make(chan struct{}, 1),
	}
	for _, v := range o {
		v(h)
	}
	h.limiter = backendserver.NewLimiter(h.clock.Now(), h.limiterOptions...)
	h.admission = backendserver.NewAdmission(h.limiter)
	if h.listed != nil {
		h.cold = backendserver.NewColdStartLimiter(h.clock.Now())
		h.doubt()
	}
	return h
}

// Handle implements lavenderridge.Handler.
func (h *OwnerHandler) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	t := h.clock.Now()
	if !h.drain.Enter() {
		h.lastRefused.Store(t.UnixNano())
		return nil, h.notRun(lavenderridge.ReasonStopping, "the daemon stops", leavingRetryAfter)
	}
	defer h.drain.Leave()
	v, e := h.check(r, t)
	if e != nil {
		return nil, e
	}
	for b := t; ; t = h.clock.Now() {
		j, w := h.suspects.Disposition(r, t)
		switch j {
		case backendserver.DispositionRefused:
			return nil, h.notRun(lavenderridge.ReasonQuarantined, "the request crashed a backend server", w)
		case backendserver.DispositionNormal:
			return h.handleFreely(c, v, r, t)
		}
		p, e := h.handleAlone(c, v, r, t)
		if e == nil || !h.waitForTrial(c, e, t.Sub(b)) {
			return p, e
		}
	}
}

// waitForTrial waits a little when e tells that another suspect runs alone, and
// reports whether to judge the request again: a popular one may be cleared
// meanwhile. The request has waited for d.
func (h *OwnerHandler) waitForTrial(c context.Context, e error, d time.Duration) bool {
	defer h.patient.Add(-1)
	if n := h.patient.Add(1); n > maxSuspectsWaiting || d >= h.patience || lavenderridge.AsRefusal(e).Reason != lavenderridge.ReasonSuspectBusy {
		return false
	}
	k := time.NewTimer(trialPeriod)
	defer k.Stop()
	select {
	case <-k.C:
		return true
	case <-c.Done():
		return false
	}
}

// handleFreely runs a request that is not suspected.
func (h *OwnerHandler) handleFreely(c context.Context, v *lavenderridge.Service, r *lavenderridge.Request, t time.Time) (*lavenderridge.Response, error) {
	if e := h.admitListed(v, r, t); e != nil {
		return nil, e
	}
	n, e := h.reserve(r, t)
	if e != nil {
		return nil, e
	}
	p, e := h.enterFreely(c, v, r, t)
	h.release(r, n, p)
	return p, e
}

// enterFreely runs a request once it has a slot.
func (h *OwnerHandler) enterFreely(c context.Context, v *lavenderridge.Service, r *lavenderridge.Request, t time.Time) (*lavenderridge.Response, error) {
	x, e := h.admission.EnterWithObjective(v, r.Class, h.waitDeadline(r), r.Objective, t)
	if e != nil {
		return nil, h.placed(e)
	}
	if x != nil {
		if e := h.wait(c, x); e != nil {
			return nil, h.placed(e)
		}
	}
	defer func() { h.admission.Leave(h.clock.Now()) }()
	return h.run(c, v, r, false)
}

// handleAlone runs a suspect while nothing else runs.
func (h *OwnerHandler) handleAlone(c context.Context, v *lavenderridge.Service, r *lavenderridge.Request, t time.Time) (*lavenderridge.Response, error) {
	w, e := h.admission.EnterExclusive(v, r.Class, r.Deadline, t)
	if e != nil {
		return nil, h.placed(e)
	}
	if w != nil {
		x, f := context.WithTimeout(c, aloneTimeout)
		defer f()
		if e := h.wait(x, w); e != nil {
			return nil, h.placed(e)
		}
	}
	defer func() { h.admission.LeaveExclusive(h.clock.Now()) }()
	p, e := h.run(c, v, r, true)
	h.release(r, 0, p)
	return p, e
}

// check returns the service of r, or a refusal if this daemon may not run r
// now.
func (h *OwnerHandler) check(r *lavenderridge.Request, t time.Time) (*lavenderridge.Service, error) {
	if e := h.readiness.Ready(t); e != nil {
		return nil, h.placed(e)
	}
	s := h.snapshots.Snapshot()
	if s == nil {
		return nil, h.notRun(lavenderridge.ReasonNotReady, "no configuration in force yet", leavingRetryAfter)
	}
	if r.Target != h.self().Instance {
		return nil, h.notRun(lavenderridge.ReasonWrongTarget, "the request is for another instance", 0)
	}
	v := s.Service(r.Service)
	if v == nil {
		return nil, h.notRun(lavenderridge.ReasonNoRoute, "no such service", 0)
	}
	if e := h.checkService(s, t); e != nil {
		return nil, e
	}
	if h.listed == nil {
		return v, nil
	}
	n := s.Instance(r.Target)
	if n.Service != r.Service || r.Backend != "" && n.Backend != r.Backend {
		return nil, h.notRun(lavenderridge.ReasonWrongTarget, "another backend server is listed here", 0)
	}
	return h.listed.service(s, v, n), nil
}

// checkService refuses while the snapshot s has this instance out of service
// or leaving, and begins the ramp again when it comes back.
func (h *OwnerHandler) checkService(s *lavenderridge.Snapshot, t time.Time) error {
	n := s.Instance(h.self().Instance)
	if s.Eligible(n) {
		if h.outOfService.Load() && h.outOfService.CompareAndSwap(true, false) {
			h.limiter.Restart(t)
			h.record("RampRestarted", "back in service", t)
			h.doubt()
		}
		return nil
	}
	if h.outOfService.CompareAndSwap(false, true) {
		h.record("TakenOutOfService", "the catalogue or the instance list says so", t)
	}
	switch {
	case n == nil:
		return h.notRun(lavenderridge.ReasonNotReady, "the instance is not listed", leavingRetryAfter)
	case n.State != lavenderridge.InstanceLive:
		return h.notRun(lavenderridge.ReasonLeaving, "the instance leaves", leavingRetryAfter)
	}
	return h.notRun(lavenderridge.ReasonOutOfService, "the instance or its data centre is out of service", leavingRetryAfter)
}

// wait returns nil once w has a slot.
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
		return h.notRun(lavenderridge.ReasonDeadline, "the wait for a slot was too long", 0)
	}
	return h.notRun(lavenderridge.ReasonCancelled, "the caller went away", 0)
}

// run gives an admitted request to the backend server, alone when a is set. A
// request that waited is checked again, for the instance may have gone out of
// service meanwhile.
func (h *OwnerHandler) run(c context.Context, v *lavenderridge.Service, r *lavenderridge.Request, a bool) (*lavenderridge.Response, error) {
	b := h.clock.Now()
	if _, e := h.check(r, b); e != nil {
		return nil, e
	}
	if e := h.enterCold(v, r, b); e != nil {
		return nil, e
	}
	p, e := h.backend.Handle(c, r)
	t := h.clock.Now()
	if e != nil {
		return nil, h.failed(c, r, a, e, b, t)
	}
	h.answered(r, p, v, t.Sub(b), t)
	p.Load = h.load(v)
	p.Sender = h.self()
	return p, nil
}

// answered learns from a response that took d.
func (h *OwnerHandler) answered(r *lavenderridge.Request, p *lavenderridge.Response, v *lavenderridge.Service, d time.Duration, t time.Time) {
	h.unreachable.Store(false)
	h.learnPace(r, d)
	if h.listed != nil {
		h.listed.sizes.Observe(r.Entry, lavenderridge.ByteCount(len(p.Body)))
	}
	if h.listed != nil {
		h.listed.throttle.Observe(r.Entry, p.Status < http.StatusInternalServerError, t)
	}
	if h.suspects.Succeeded(r, t) {
		h.record("SuspectCleared", "the backend server answered it", t)
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

// failed learns from a request that ran from b to t and got no response, and
// returns its refusal.
func (h *OwnerHandler) failed(c context.Context, r *lavenderridge.Request, a bool, e error, b, t time.Time) error {
	f := lavenderridge.AsRefusal(e)
	f.Place, f.Load = h.self().Instance, h.load(nil)
	switch f.Reason {
	case lavenderridge.ReasonWrongTarget:
		h.doubt()
	case lavenderridge.ReasonUnreachable:
		h.doubt()
		if h.unreachable.CompareAndSwap(false, true) {
			h.limiter.Crashed(t)
			h.record("RampRestarted", "backend server unreachable", t)
		}
	case lavenderridge.ReasonDeadline:
		if f.Outcome == lavenderridge.OutcomeUnknown && h.limiter.TimedOut(t.Sub(b), t) {
			h.record("RampRestarted", "burst of timeouts", t)
		}
	case lavenderridge.ReasonConnectionLost, lavenderridge.ReasonBadResponse:
		h.doubt()
		if f.Outcome == lavenderridge.OutcomeUnknown && h.crashed(c, b, t) {
			h.suspect(r, a, f, t)
		}
	}
	return f
}

// suspect notes that r was in flight at a crash.
func (h *OwnerHandler) suspect(r *lavenderridge.Request, a bool, f *lavenderridge.Refusal, t time.Time) {
	f.Reason, f.Detail = lavenderridge.ReasonCrashed, "the backend server crashed while it ran the request"
	if h.suspects.Crashed(r, a, t) {
		h.recordOf("Quarantined", string(r.ID), "the request crashed the backend server while alone there", t)
	}
}

func (h *OwnerHandler) notRun(r lavenderridge.Reason, d string, w time.Duration) error {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, d)
	f.RetryAfter = w
	return h.placed(f)
}

// placed adds this instance and its load to the refusal e.
func (h *OwnerHandler) placed(e error) error {
	f := lavenderridge.AsRefusal(e)
	f.Place, f.Load = h.self().Instance, h.load(nil)
	return f
}

func (h *OwnerHandler) record(k, d string, t time.Time) {
	h.recordOf(k, string(h.self().Instance), d, t)
}

func (h *OwnerHandler) recordOf(k, s, d string, t time.Time) {
	h.recorder.Record(lavenderridge.Decision{
		Time: t, Event: k, Subject: s, Reason: d, Versions: h.self().Stamps.Versions(),
	})
}
