package caller

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	defaultAttempts lavenderridge.Attempt = 3
	// noRetryAttempts bounds the attempts of a request marked NoRetry, whose
	// retries are left to the layer above. The second attempt is made only if the
	// first is proven not to have run.
	noRetryAttempts lavenderridge.Attempt = 2
	// homeAttempts bounds the attempts while the home of the request's key is
	// changing.
	homeAttempts lavenderridge.Attempt = 6
	// homeWaitDivisor bounds the wait for a changing home: the time left until
	// the deadline divided by homeWaitDivisor.
	homeWaitDivisor time.Duration = 8
	// maxReroutes bounds the additional attempts of a request whose attempts are
	// refused by owners before they reach a backend server.
	maxReroutes lavenderridge.Attempt = 3
	// serverError is the HTTP status of a backend server's own error.
	serverError = 500

	defaultBackoff    = 5 * time.Millisecond
	defaultMaxBackoff = 250 * time.Millisecond
)

// A RetryPolicy decides whether a request gets another attempt, and when.
type RetryPolicy struct {
	attempts         lavenderridge.Attempt
	backoff          time.Duration
	maxBackoff       time.Duration
	random           func() float64
	budgetParameters func() BudgetParameters
	// freeRerouting is true if a retry uses the budget only after an attempt that
	// may have reached a backend server.
	freeRerouting bool
	// failureParameters is nil if failed responses are not followed by retries.
	failureParameters func() BudgetParameters
	budgets           sync.Map // of lavenderridge.ServiceID to *RetryBudget
	failureBudgets    sync.Map // of lavenderridge.ServiceID to *failureBudget
	yields            sync.Map // of lavenderridge.ServiceID to *rerouteYield
	stoppedAttempts   atomic.Int64
}

// NewRetryPolicy returns a policy with exponential backoff between attempts:
// random waits of up to 5 ms, 10 ms and so on, at most 250 ms.
func NewRetryPolicy(o ...RetryOption) *RetryPolicy {
	p := &RetryPolicy{attempts: defaultAttempts, backoff: defaultBackoff, maxBackoff: defaultMaxBackoff, random: rand.Float64, budgetParameters: DefaultBudgetParameters}
	for _, f := range o {
		f(p)
	}
	return p
}

// RecordRequest adds the tokens for a new request to the retry budget of the
// service d.
func (p *RetryPolicy) RecordRequest(d lavenderridge.ServiceID, t time.Time) {
	p.budget(d, t).Deposit()
	if p.failureParameters != nil {
		p.failureBudget(d, t).Deposit()
	}
}

// RetriesFailure records the response with the status c to the request r, and reports
// whether r under the entry e gets another attempt at the time t, where the attempts a
// have taken the time d together. A second run must be harmless, and if it takes as
// long it must fit into the time left.
func (p *RetryPolicy) RetriesFailure(e *lavenderridge.Entry, r *lavenderridge.Request, a *Attempts, c int, d time.Duration, t time.Time) bool {
	if p.failureParameters == nil {
		return false
	}
	b := p.failureBudget(r.Service, t)
	b.record(c == serverError)
	if c != serverError || !r.Idempotent || r.NoRetry {
		return false
	}
	if a.Offered() >= p.maxAttempts(e, r, &lavenderridge.Refusal{}) || !t.Add(d).Before(r.Deadline) {
		return false
	}
	return b.take(t)
}

// Next returns the wait before the next attempt of the request r under the
// entry e, where f is the refusal of the last of the attempts a. It returns
// false if there must be no further attempt.
func (p *RetryPolicy) Next(e *lavenderridge.Entry, r *lavenderridge.Request, a *Attempts, f *lavenderridge.Refusal, t time.Time) (time.Duration, bool) {
	p.recordYield(r.Service, a, f, t)
	if f.Retried || !p.allows(e, r, a, f) || !repeatable(r, f) {
		return 0, false
	}
	d := p.delay(r, a.Count(), f, t)
	if !t.Add(d).Before(r.Deadline) {
		return 0, false
	}
	if !mayHaveReached(f) && p.freeRerouting {
		return d, p.mayReroute(r.Service, f, t)
	}
	return d, p.budget(r.Service, t).Take(t)
}

// Rerouted records that a further attempt for a request of the service d found room at
// the time t.
func (p *RetryPolicy) Rerouted(d lavenderridge.ServiceID, t time.Time) {
	if p.freeRerouting {
		p.yieldOf(d, t).record(true, t)
	}
}

// recordYield records the refusal f of the last of the attempts a, if that was a further
// attempt for which there was no room.
func (p *RetryPolicy) recordYield(d lavenderridge.ServiceID, a *Attempts, f *lavenderridge.Refusal, t time.Time) {
	if p.freeRerouting && a.Count() > 1 && f.Reason == lavenderridge.ReasonOverloaded && !mayHaveReached(f) {
		p.yieldOf(d, t).record(false, t)
	}
}

// mayReroute reports whether another instance may be tried at the time t after the refusal
// f.
func (p *RetryPolicy) mayReroute(d lavenderridge.ServiceID, f *lavenderridge.Refusal, t time.Time) bool {
	if f.Reason != lavenderridge.ReasonOverloaded || p.yieldOf(d, t).allow(t) {
		return true
	}
	p.stoppedAttempts.Add(1)
	return false
}

// StoppedAttempts returns the number of further attempts that were not made because
// hardly any found an instance with room.
func (p *RetryPolicy) StoppedAttempts() int64 {
	return p.stoppedAttempts.Load()
}

// yieldOf returns the yield of further attempts for the service d; a new one starts at t.
func (p *RetryPolicy) yieldOf(d lavenderridge.ServiceID, t time.Time) *rerouteYield {
	if v, o := p.yields.Load(d); o {
		return v.(*rerouteYield)
	}
	v, _ := p.yields.LoadOrStore(d, newRerouteYield(t))
	return v.(*rerouteYield)
}

// Reroutes reports whether the attempt after one refused with f goes only to an
// instance that is not known to refuse requests. Without a budget, nothing else bounds
// the attempts that an overloaded service refuses.
func (p *RetryPolicy) Reroutes(f *lavenderridge.Refusal) bool {
	o := f.Reason == lavenderridge.ReasonOverloaded || f.Reason == lavenderridge.ReasonBackendLimit
	return p.freeRerouting && o && !mayHaveReached(f)
}

// allows reports whether the number of attempts is below its bound. With free
// rerouting, only attempts that may have reached a backend server count for
// the bound of the entry, and maxReroutes more are allowed in total.
func (p *RetryPolicy) allows(e *lavenderridge.Entry, r *lavenderridge.Request, a *Attempts, f *lavenderridge.Refusal) bool {
	n := p.maxAttempts(e, r, f)
	if !p.freeRerouting {
		return a.Count() < n
	}
	return a.Offered() < n && a.Count() < n+maxReroutes
}

// maxAttempts returns the bound of the attempts of r: that of the entry e if it
// sets one, otherwise the default or that of a changing home. NoRetry lowers it.
func (p *RetryPolicy) maxAttempts(e *lavenderridge.Entry, r *lavenderridge.Request, f *lavenderridge.Refusal) lavenderridge.Attempt {
	n := p.attempts
	if homeChanging(r, f) && n > 1 {
		n = homeAttempts
	}
	if e.Limits.Attempts > 0 {
		n = e.Limits.Attempts
	}
	if r.NoRetry {
		n = min(n, noRetryAttempts)
	}
	return n
}

// repeatable reports whether another attempt may follow one refused with f: the
// attempt is proven not to have run, or a second run is harmless because r is
// idempotent, or the home of the key prevents a second run. In the last two cases,
// NoRetry leaves the retry to the layer above.
func repeatable(r *lavenderridge.Request, f *lavenderridge.Refusal) bool {
	if !retryable(f.Reason) {
		return false
	}
	if f.Outcome == lavenderridge.OutcomeNotRun {
		return true
	}
	return !r.NoRetry && (r.Idempotent || r.Key != "")
}

// retryable reports whether another attempt may succeed after a refusal with
// the reason r.
func retryable(r lavenderridge.Reason) bool {
	switch r {
	case lavenderridge.ReasonNotReady, lavenderridge.ReasonWrongTarget, lavenderridge.ReasonStopping,
		lavenderridge.ReasonLeaving, lavenderridge.ReasonOutOfService, lavenderridge.ReasonOverloaded, lavenderridge.ReasonBackendLimit,
		lavenderridge.ReasonUnreachable, lavenderridge.ReasonConnectionLost, lavenderridge.ReasonBadResponse,
		lavenderridge.ReasonNotHome, lavenderridge.ReasonNotActive, lavenderridge.ReasonStaleCatalogue:
		return true
	}
	return false
}

// homeChanging reports whether f shows that the home of the request's key is
// changing: the new home is not active yet, or the instance is no longer the
// home, is leaving or is out of service and this daemon has not learnt of it
// yet. The instance ran nothing, so the same key may be sent again.
func homeChanging(r *lavenderridge.Request, f *lavenderridge.Refusal) bool {
	if !Keyed(r) {
		return false
	}
	switch f.Reason {
	case lavenderridge.ReasonNotActive, lavenderridge.ReasonNotHome, lavenderridge.ReasonOutOfService, lavenderridge.ReasonLeaving:
		return true
	}
	return false
}

// delay returns the wait after the attempt n: a random time up to a bound that
// doubles with each attempt. There is no wait after a first attempt that did not
// run for a reason other than overload, because another target can run it, nor,
// with free rerouting, after any attempt that reached no backend server. While a
// home is changing, the wait is at least half of its bound, which is a share of
// the time left.
func (p *RetryPolicy) delay(r *lavenderridge.Request, n lavenderridge.Attempt, f *lavenderridge.Refusal, t time.Time) time.Duration {
	if homeChanging(r, f) {
		b := min(p.maxBackoff, r.Deadline.Sub(t)/homeWaitDivisor)
		return time.Duration((0.5 + p.random()/2) * float64(b))
	}
	if n == 1 && f.Outcome == lavenderridge.OutcomeNotRun && f.Reason != lavenderridge.ReasonOverloaded {
		return 0
	}
	if p.freeRerouting && !mayHaveReached(f) {
		return 0
	}
	b := min(p.backoff<<min(n-1, 16), p.maxBackoff)
	return time.Duration(p.random() * float64(b))
}

// budget returns the retry budget of the service d; a new one starts at t.
func (p *RetryPolicy) budget(d lavenderridge.ServiceID, t time.Time) *RetryBudget {
	if v, o := p.budgets.Load(d); o {
		return v.(*RetryBudget)
	}
	v, _ := p.budgets.LoadOrStore(d, NewRetryBudget(p.budgetParameters, t))
	return v.(*RetryBudget)
}

// failureBudget returns the budget of the service d for retries of failed responses.
func (p *RetryPolicy) failureBudget(d lavenderridge.ServiceID, t time.Time) *failureBudget {
	if v, o := p.failureBudgets.Load(d); o {
		return v.(*failureBudget)
	}
	v, _ := p.failureBudgets.LoadOrStore(d, newFailureBudget(p.failureParameters, t))
	return v.(*failureBudget)
}
