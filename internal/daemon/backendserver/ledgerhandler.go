package backendserver

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

const (
	// maxRun bounds the run of a request without a deadline.
	maxRun = 30 * time.Second
	// maxDecisions bounds how often one request is decided on.
	maxDecisions = 4
	// patience is how long a request waits for an inactive home.
	patience = 500 * time.Millisecond
	// maxPatient bounds the requests that wait for an inactive home.
	maxPatient = 256
)

// A LedgerHandler runs each keyed request that is not idempotent at most once
// and answers its resends from the ledger. It passes all others on.
//
// A run does not end with its caller: it goes on to its deadline, so that a
// resend can be given the outcome. Callers wait on a channel.
type LedgerHandler struct {
	ledger   *backendserver.Ledger
	homes    lavenderridge.HomeAuthority
	service  lavenderridge.ServiceID
	clock    lavenderridge.Clock
	self     func() lavenderridge.Sender
	recorder lavenderridge.Recorder
	next     lavenderridge.Handler

	running atomic.Int64
	idle    chan struct{}
	patient atomic.Int64
	// stopping is closed when the daemon stops: its home will not change again.
	stopping chan struct{}
	stop     sync.Once
}

var _ lavenderridge.Handler = (*LedgerHandler)(nil)

// NewLedgerHandler returns a handler for the service d that keeps its runs in
// l, lets a decide which keys it may run and runs them with n.
func NewLedgerHandler(l *backendserver.Ledger, a lavenderridge.HomeAuthority, d lavenderridge.ServiceID, k lavenderridge.Clock, f func() lavenderridge.Sender, r lavenderridge.Recorder, n lavenderridge.Handler) *LedgerHandler {
	return &LedgerHandler{
		ledger: l, homes: a, service: d, clock: k, self: f, recorder: r, next: n,
		idle: make(chan struct{}, 1), stopping: make(chan struct{}),
	}
}

// Handle implements lavenderridge.Handler.
func (h *LedgerHandler) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	if r.Key == "" || r.Idempotent {
		return h.next.Handle(c, r)
	}
	if r.Service != h.service {
		return nil, h.refuse(r, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonNotHome, "the key belongs to another service"))
	}
	f := fingerprint(r)
	for range maxDecisions {
		e, o, x := h.admit(c, r, f)
		if x != nil {
			return nil, h.refuse(r, lavenderridge.AsRefusal(x))
		}
		if o {
			h.run(c, r, e)
		}
		p, x := h.await(c, r, e)
		if p != nil || x != nil {
			return p, x
		}
	}
	return nil, h.refuse(r, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonNotActive, "the membership changes too often"))
}

// admit asks the ledger, and once more if the home becomes active meanwhile.
func (h *LedgerHandler) admit(c context.Context, r *lavenderridge.Request, f lavenderridge.Fingerprint) (*backendserver.LedgerEntry, bool, error) {
	if c.Err() != nil {
		return nil, false, ended(c)
	}
	d := h.homes.Changed()
	e, o, x := h.ledger.Admit(h.homes.Authority, r.Key, f, r.Sender.Stamps.Versions(), h.clock.Now())
	if x == nil || lavenderridge.AsRefusal(x).Reason != lavenderridge.ReasonNotActive || !h.wait(c, d) {
		return e, o, x
	}
	return h.ledger.Admit(h.homes.Authority, r.Key, f, r.Sender.Stamps.Versions(), h.clock.Now())
}

// wait waits for a change of the home's state and reports whether there was
// one.
func (h *LedgerHandler) wait(c context.Context, d <-chan struct{}) bool {
	defer h.patient.Add(-1)
	if h.patient.Add(1) > maxPatient {
		return false
	}
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case <-d:
		return true
	case <-t.C:
	case <-h.stopping:
	case <-c.Done():
	}
	return false
}

// run runs the request apart from the caller's context.
func (h *LedgerHandler) run(c context.Context, r *lavenderridge.Request, e *backendserver.LedgerEntry) {
	q := *r
	d := r.Deadline
	if d.IsZero() {
		d = h.clock.Now().Add(maxRun)
	}
	x, f := context.WithDeadline(context.WithoutCancel(c), d)
	h.running.Add(1)
	go func() {
		defer h.leave()
		defer f()
		p, x := h.next.Handle(x, &q)
		h.ledger.Finish(e, p, x)
		h.homes.Finished(e.Key())
	}()
}

func (h *LedgerHandler) leave() {
	if h.running.Add(-1) > 0 {
		return
	}
	select {
	case h.idle <- struct{}{}:
	default:
	}
}

// Wait has no request wait for a change of the home any more, and returns once
// no keyed request runs, or when c ends.
func (h *LedgerHandler) Wait(c context.Context) {
	h.stop.Do(func() { close(h.stopping) })
	for h.running.Load() > 0 {
		select {
		case <-h.idle:
		case <-c.Done():
			return
		}
	}
}

// await returns the outcome of e for the request r. It returns nothing when
// the run was given up before it began.
func (h *LedgerHandler) await(c context.Context, r *lavenderridge.Request, e *backendserver.LedgerEntry) (*lavenderridge.Response, error) {
	select {
	case <-e.Finished():
	case <-c.Done():
		return nil, h.refuse(r, ended(c))
	}
	o := e.Outcome()
	if o.Response == nil {
		if o.Refusal == nil {
			return nil, nil //nolint:nilnil // neither: decide again
		}
		return nil, h.refuse(r, o.Refusal)
	}
	p := *o.Response
	p.ID, p.Attempt, p.Sender = r.ID, r.Attempt, h.self()
	return &p, nil
}

// refuse returns a copy of f with this place and records it.
func (h *LedgerHandler) refuse(r *lavenderridge.Request, f *lavenderridge.Refusal) error {
	g := *f
	s := h.self()
	g.Place = s.Instance
	h.recorder.Record(lavenderridge.Decision{
		Time: h.clock.Now(), Event: "KeyRefused", Subject: string(r.ID),
		Reason: string(g.Reason) + ": " + g.Detail, Versions: s.Stamps.Versions(),
	})
	return &g
}

func ended(c context.Context) *lavenderridge.Refusal {
	if errors.Is(c.Err(), context.DeadlineExceeded) {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonDeadline, "no outcome before the deadline")
	}
	return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonCancelled, "the caller has gone")
}

// fingerprint identifies what a request asks for, so that a key is not taken
// for another request.
func fingerprint(r *lavenderridge.Request) lavenderridge.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Method, r.Path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return lavenderridge.Fingerprint(d.Sum64())
}
