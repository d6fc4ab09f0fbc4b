package caller

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	defaultAttempts lavenderridge.Attempt = 3
	// markedAttempts bounds the attempts of a request whose retries belong to
	// a layer above. The second follows a proven NotRun only.
	markedAttempts lavenderridge.Attempt = 2
	// homeAttempts bounds the attempts at a home that is about to take up its
	// work.
	homeAttempts lavenderridge.Attempt = 6
	// homeWaitShare divides the time left into the bounds of these waits.
	homeWaitShare time.Duration = 8
	// maxReroutes bounds the further attempts of a request that owners refuse
	// before it reaches a backend server.
	maxReroutes lavenderridge.Attempt = 3

	defaultBackoff    = 5 * time.Millisecond
	defaultMaxBackoff = 250 * time.Millisecond
)

// A RetryPolicy decides whether a request gets another attempt, and when.
type RetryPolicy struct {
	attempts   lavenderridge.Attempt
	backoff    time.Duration
	maxBackoff time.Duration
	random     func() float64
	terms      func() BudgetTerms
	// free tells that a retry takes from the budget only after an attempt that
	// reached a backend server.
	free    bool
	budgets sync.Map // of lavenderridge.ServiceID to *RetryBudget
}

// NewRetryPolicy returns a policy that waits about 5 ms, 10 ms and so on, up
// to 250 ms, between attempts.
func NewRetryPolicy(o ...RetryOption) *RetryPolicy {
	p := &RetryPolicy{attempts: defaultAttempts, backoff: defaultBackoff, maxBackoff: defaultMaxBackoff, random: rand.Float64, terms: DefaultBudgetTerms}
	for _, f := range o {
		f(p)
	}
	return p
}

// Begin counts a request of the service d at the time t.
func (p *RetryPolicy) Begin(d lavenderridge.ServiceID, t time.Time) {
	p.budget(d, t).Deposit()
}

// Next tells how long to wait before the next attempt of the request r under
// the entry e, after the attempts a of which the last was refused with f. It
// reports false when there must be none.
func (p *RetryPolicy) Next(e *lavenderridge.Entry, r *lavenderridge.Request, a *Attempts, f *lavenderridge.Refusal, t time.Time) (time.Duration, bool) {
	if f.Retried || !p.allows(e, r, a, f) || !repeatable(r, f) {
		return 0, false
	}
	d := p.wait(r, a.Count(), f, t)
	if !t.Add(d).Before(r.Deadline) {
		return 0, false
	}
	if !mayHaveReached(f) && p.free {
		return d, true
	}
	return d, p.budget(r.Service, t).Take(t)
}

// allows reports whether the number of attempts allows another one. Where
// rerouting is free, only attempts that reached a backend server count for the
// bound of the entry.
func (p *RetryPolicy) allows(e *lavenderridge.Entry, r *lavenderridge.Request, a *Attempts, f *lavenderridge.Refusal) bool {
	n := p.maxAttempts(e, r, f)
	if !p.free {
		return a.Count() < n
	}
	return a.Offered() < n && a.Count() < n+maxReroutes
}

func (p *RetryPolicy) maxAttempts(e *lavenderridge.Entry, r *lavenderridge.Request, f *lavenderridge.Refusal) lavenderridge.Attempt {
	n := p.attempts
	if homeChanges(r, f) && n > 1 {
		n = homeAttempts
	}
	if e.Limits.Attempts > 0 {
		n = e.Limits.Attempts
	}
	if r.NoRetry {
		n = min(n, markedAttempts)
	}
	return n
}

// repeatable reports whether an attempt refused with f may be followed by
// another: when it is proven not to have run, or when a second run is harmless
// or prevented by the home of its key.
func repeatable(r *lavenderridge.Request, f *lavenderridge.Refusal) bool {
	if !temporary(f.Reason) {
		return false
	}
	if f.Outcome == lavenderridge.OutcomeNotRun {
		return true
	}
	return !r.NoRetry && (r.Idempotent || r.Key != "")
}

// temporary reports whether another attempt may fare better.
func temporary(r lavenderridge.Reason) bool {
	switch r {
	case lavenderridge.ReasonNotReady, lavenderridge.ReasonWrongTarget, lavenderridge.ReasonStopping,
		lavenderridge.ReasonLeaving, lavenderridge.ReasonOutOfService, lavenderridge.ReasonOverloaded,
		lavenderridge.ReasonUnreachable, lavenderridge.ReasonConnectionLost, lavenderridge.ReasonBadResponse,
		lavenderridge.ReasonNotHome, lavenderridge.ReasonNotActive:
		return true
	}
	return false
}

// homeChanges reports whether the home of the request's key is about to take
// up its work, or another instance is: the home leaves or is out of service, and
// this daemon has not learnt of it yet. It ran nothing, and the same key may be
// asked for again.
func homeChanges(r *lavenderridge.Request, f *lavenderridge.Refusal) bool {
	if !Keyed(r) {
		return false
	}
	switch f.Reason {
	case lavenderridge.ReasonNotActive, lavenderridge.ReasonNotHome, lavenderridge.ReasonOutOfService, lavenderridge.ReasonLeaving:
		return true
	}
	return false
}

// wait returns a random time up to a bound that doubles with each attempt. The
// second attempt after a target that is gone needs no wait. A home that changes
// is given a share of the time left.
func (p *RetryPolicy) wait(r *lavenderridge.Request, n lavenderridge.Attempt, f *lavenderridge.Refusal, t time.Time) time.Duration {
	if homeChanges(r, f) {
		b := min(p.maxBackoff, r.Deadline.Sub(t)/homeWaitShare)
		return time.Duration((0.5 + p.random()/2) * float64(b))
	}
	if n == 1 && f.Outcome == lavenderridge.OutcomeNotRun && f.Reason != lavenderridge.ReasonOverloaded {
		return 0
	}
	if p.free && !mayHaveReached(f) {
		return 0
	}
	b := min(p.backoff<<min(n-1, 16), p.maxBackoff)
	return time.Duration(p.random() * float64(b))
}

func (p *RetryPolicy) budget(d lavenderridge.ServiceID, t time.Time) *RetryBudget {
	if v, o := p.budgets.Load(d); o {
		return v.(*RetryBudget)
	}
	v, _ := p.budgets.LoadOrStore(d, NewRetryBudget(p.terms, t))
	return v.(*RetryBudget)
}
