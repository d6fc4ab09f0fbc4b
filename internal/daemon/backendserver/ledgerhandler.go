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
	// defaultRunTimeout is the timeout of a request without a deadline.
	defaultRunTimeout = 30 * time.Second
	// maxAdmitAttempts bounds the attempts to admit a request. Another attempt
	// follows if the ledger abandons the run before it begins.
	maxAdmitAttempts = 4
	// maxHomeWait bounds how long a request waits for an inactive home.
	maxHomeWait = 500 * time.Millisecond
	// maxHomeWaiters bounds the number of requests that wait for an inactive home.
	maxHomeWaiters = 256
)

// A LedgerHandler runs each keyed request, one that has an idempotency key and is
// not idempotent, at most once, and answers its resends from the ledger. It passes
// all other requests to the next handler.
//
// A request that has begun is not cancelled when its caller disconnects. It may
// run until its deadline, so that a resend can get its outcome.
type LedgerHandler struct {
	ledger   *backendserver.Ledger
	homes    lavenderridge.HomeAuthority
	service  lavenderridge.ServiceID
	clock    lavenderridge.Clock
	self     func() lavenderridge.Sender
	recorder lavenderridge.Recorder
	next     lavenderridge.Handler

	running     atomic.Int64  // number of keyed requests that run
	idle        chan struct{} // receives a value when running falls to zero
	homeWaiters atomic.Int64  // number of requests that wait for an inactive home
	// stopping is closed when the daemon shuts down. Its home does not change
	// after that, so no request waits for a change.
	stopping chan struct{}
	stopOnce sync.Once
}

var _ lavenderridge.Handler = (*LedgerHandler)(nil)

// NewLedgerHandler returns a handler for requests to the service d. It keeps
// their outcomes in l, runs only the keys that a permits and passes requests to n.
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
	for range maxAdmitAttempts {
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
	return nil, h.refuse(r, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonNotActive, "the membership changed too often while the request waited"))
}

// admit returns the ledger entry of r, and true if the caller is to run r. If the
// home is inactive, admit waits for it to change and tries once more.
func (h *LedgerHandler) admit(c context.Context, r *lavenderridge.Request, f lavenderridge.Fingerprint) (*backendserver.LedgerEntry, bool, error) {
	if c.Err() != nil {
		return nil, false, contextRefusal(c)
	}
	d := h.homes.Changed()
	e, o, x := h.ledger.Admit(h.homes.Authority, r.Key, f, r.Sender.Stamps.Versions(), h.clock.Now())
	if x == nil || lavenderridge.AsRefusal(x).Reason != lavenderridge.ReasonNotActive || !h.waitForHomeChange(c, d) {
		return e, o, x
	}
	return h.ledger.Admit(h.homes.Authority, r.Key, f, r.Sender.Stamps.Versions(), h.clock.Now())
}

// waitForHomeChange waits until d is closed, which signals a change of the home,
// and reports whether that happened in time.
func (h *LedgerHandler) waitForHomeChange(c context.Context, d <-chan struct{}) bool {
	defer h.homeWaiters.Add(-1)
	if h.homeWaiters.Add(1) > maxHomeWaiters {
		return false
	}
	t := time.NewTimer(maxHomeWait)
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

// run starts the request in a goroutine that does not end with the caller's
// context, and stores its outcome in e.
func (h *LedgerHandler) run(c context.Context, r *lavenderridge.Request, e *backendserver.LedgerEntry) {
	q := *r
	d := r.Deadline
	if d.IsZero() {
		d = h.clock.Now().Add(defaultRunTimeout)
	}
	x, f := context.WithDeadline(context.WithoutCancel(c), d)
	h.running.Add(1)
	go func() {
		defer h.runEnded()
		defer f()
		p, x := h.next.Handle(x, &q)
		h.ledger.Finish(e, p, x)
		h.homes.Finished(e.Key())
	}()
}

// runEnded signals idle after the last running request has ended.
func (h *LedgerHandler) runEnded() {
	if h.running.Add(-1) > 0 {
		return
	}
	select {
	case h.idle <- struct{}{}:
	default:
	}
}

// Drain makes requests stop waiting for a change of the home, and returns once no
// keyed request runs or c ends.
func (h *LedgerHandler) Drain(c context.Context) {
	h.stopOnce.Do(func() { close(h.stopping) })
	for h.running.Load() > 0 {
		select {
		case <-h.idle:
		case <-c.Done():
			return
		}
	}
}

// await waits for the outcome of e and returns it for the request r. It returns
// nil and nil if the ledger abandoned the run before it began.
func (h *LedgerHandler) await(c context.Context, r *lavenderridge.Request, e *backendserver.LedgerEntry) (*lavenderridge.Response, error) {
	select {
	case <-e.Finished():
	case <-c.Done():
		return nil, h.refuse(r, contextRefusal(c))
	}
	o := e.Outcome()
	if o.Response == nil {
		if o.Refusal == nil {
			return nil, nil //nolint:nilnil // abandoned: Handle tries again
		}
		return nil, h.refuse(r, o.Refusal)
	}
	p := *o.Response
	p.ID, p.Attempt, p.Sender = r.ID, r.Attempt, h.self()
	return &p, nil
}

// refuse returns a copy of f that names this instance, and records it as a
// decision.
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

// contextRefusal returns the refusal for a request whose context c has ended.
func contextRefusal(c context.Context) *lavenderridge.Refusal {
	if errors.Is(c.Err(), context.DeadlineExceeded) {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonDeadline, "no outcome before the deadline")
	}
	return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonCancelled, "the caller disconnected")
}

// fingerprint hashes the method, path, body and customer of a request, to detect a key that
// is reused for a different request. No customer gets the response to another one's request.
func fingerprint(r *lavenderridge.Request) lavenderridge.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	if r.Customer != "" {
		// No method begins with this byte.
		_, _ = d.WriteString("\x01" + string(r.Customer) + "\x00")
	}
	for _, s := range []string{r.Method, r.Path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return lavenderridge.Fingerprint(d.Sum64())
}
