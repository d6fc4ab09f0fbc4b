package caller

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

const (
	// loanTimeout bounds the wait for a home's reply. After it the other home is asked.
	loanTimeout = 200 * time.Millisecond
	// maxLoanWait bounds the time for which a request waits for a loan, besides a part,
	// one in loanWaitPart, of the time until its deadline.
	maxLoanWait  = 500 * time.Millisecond
	loanWaitPart = 4
	// recordInterval is the least time between two records about one customer.
	recordInterval = 10 * time.Second
	// maxNeeds bounds the accounts that wait to be looked at.
	maxNeeds = 1024
	// maxBorrowing bounds the loan requests under way.
	maxBorrowing = 64
)

// A Borrower admits the requests of customers that have a quota. It borrows from the
// homes of their quotas ahead of the demand, and at once where a request waits.
type Borrower struct {
	instance lavenderridge.InstanceID
	bounds   peer.QuotaBounds
	clock    lavenderridge.Clock
	peers    lavenderridge.PeerDialer
	local    func(c context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error)
	start    time.Time
	accounts sync.Map // of lavenderridge.CustomerID to *borrowing
	now      chan *borrowing
	soon     chan *borrowing
	running  chan struct{}
	recorder lavenderridge.Recorder
	counters borrowerCounters
}

// borrowing is the account of one customer and the state of its questions.
type borrowing struct {
	account *caller.QuotaAccount
	// queuedNow and queuedSoon are true while the borrowing is in a queue.
	queuedNow, queuedSoon atomic.Bool
	asking                atomic.Bool
	// answered is closed at the next reply.
	answered atomic.Pointer[chan struct{}]
	// recorded is when the last decision was recorded, in nanoseconds since the start.
	recorded atomic.Int64
}

// question is what one borrowing asks.
type question struct {
	borrowing *borrowing
	ask       *caller.QuotaAsk
}

// borrowerCounters counts requests and questions.
type borrowerCounters struct {
	admitted, waited, exceeded, unanswered, asked, failed metrics.Counter
}

// NewBorrower returns the borrower of the instance n. The function f lends what the
// daemon's own ledger has. A customer that reaches its quota is recorded with r.
func NewBorrower(n lavenderridge.InstanceID, u peer.QuotaBounds, k lavenderridge.Clock, p lavenderridge.PeerDialer, f func(c context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error), r lavenderridge.Recorder, m metrics.Registry) *Borrower {
	g := func(s string) metrics.Counter { return metrics.GetOrRegisterCounter(s, m) }
	b := &Borrower{
		instance: n, bounds: u, clock: k, peers: p, local: f, start: k.Now(), recorder: r,
		now: make(chan *borrowing, maxNeeds), soon: make(chan *borrowing, maxNeeds), running: make(chan struct{}, maxBorrowing),
		counters: borrowerCounters{
			admitted: g("QuotaAdmitted"), waited: g("QuotaWaited"), exceeded: g("QuotaExceeded"), unanswered: g("QuotaUnanswered"),
			asked: g("QuotaLoansAsked"), failed: g("QuotaLoansFailed"),
		},
	}
	metrics.NewRegisteredFunctionalGauge("QuotaAccounts", m, func() int64 { return int64(b.size()) })
	return b
}

func (b *Borrower) size() int {
	n := 0
	b.accounts.Range(func(any, any) bool {
		n++
		return true
	})
	return n
}

// Run asks the homes until c ends.
func (b *Borrower) Run(c context.Context) error {
	var g sync.WaitGroup
	defer g.Wait()
	var a []*borrowing
	var t <-chan time.Time
	for {
		select {
		case <-c.Done():
			return nil
		case v := <-b.now:
			v.queuedNow.Store(false)
			b.ask(c, &g, append([]*borrowing{v}, a...))
			a, t = nil, nil
		case v := <-b.soon:
			if a = append(a, v); t == nil {
				t = time.After(peer.LoanAskDelay)
			}
		case <-t:
			b.ask(c, &g, a)
			a, t = nil, nil
		}
	}
}

// Admit admits a request of the customer v under the snapshot s, which may wait until a
// home has lent, or returns a refusal. The request ends at the time d.
func (b *Borrower) Admit(c context.Context, s *lavenderridge.Snapshot, v *lavenderridge.Customer, d time.Time) (caller.QuotaUse, error) {
	t := b.clock.Now()
	w := b.borrowing(v.ID)
	w.account.Update(v.Quota, s.List, t)
	w.account.Arrive()
	u, m, a := w.account.Take(t)
	if a == caller.QuotaPending {
		b.counters.waited.Inc(1)
		u, m, a = b.await(c, w, min(maxLoanWait, d.Sub(t)/loanWaitPart))
	}
	b.check(w)
	switch a {
	case caller.QuotaAdmitted:
		b.counters.admitted.Inc(1)
		return u, nil
	case caller.QuotaExceeded:
		b.counters.exceeded.Inc(1)
		b.record("QuotaReached", s, w, v)
		return u, b.refusal(v, m, "the customer has reached its quota")
	default:
		if m <= 0 {
			m = maxLoanWait
		}
		b.counters.unanswered.Inc(1)
		b.record("QuotaUnanswered", s, w, v)
		return u, b.refusal(v, m, "no home of the customer's quota lends")
	}
}

// await waits for up to d until the account w admits the request or has nothing left.
func (b *Borrower) await(c context.Context, w *borrowing, d time.Duration) (caller.QuotaUse, time.Duration, caller.QuotaAnswer) {
	w.account.Wait()
	defer w.account.Leave()
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		n := *w.answered.Load()
		u, m, a := w.account.Take(b.clock.Now())
		if a != caller.QuotaPending {
			return u, m, a
		}
		b.check(w)
		select {
		case <-n:
		case <-t.C:
			return u, m, a
		case <-c.Done():
			return u, m, a
		}
	}
}

// record records the event n of the customer v, at most once in recordInterval.
func (b *Borrower) record(n string, s *lavenderridge.Snapshot, w *borrowing, v *lavenderridge.Customer) {
	t := b.clock.Now()
	d := int64(t.Sub(b.start))
	if o := w.recorded.Load(); o > 0 && d-o < int64(recordInterval) || !w.recorded.CompareAndSwap(o, max(d, 1)) {
		return
	}
	b.recorder.Record(lavenderridge.Decision{
		Time: t, Event: n, Subject: string(v.ID), Versions: s.Versions(),
		Reason: fmt.Sprintf("%g a second, burst %d; %s", float64(v.Quota.Rate), v.Quota.Burst, w.account.Terms()),
	})
}

// refusal returns the refusal of a request of the customer v, with the advice to retry
// after d, but not before a home can have answered another question.
func (b *Borrower) refusal(v *lavenderridge.Customer, d time.Duration, s string) error {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonQuota,
		fmt.Sprintf("%s: customer %s, %g a second and a burst of %d at all daemons together", s, v.ID, float64(v.Quota.Rate), v.Quota.Burst))
	f.RetryAfter = max(d, peer.LoanAskDelay)
	return f
}

// GiveBack returns the use u of a request of the customer d that reached no backend
// server.
func (b *Borrower) GiveBack(d lavenderridge.CustomerID, u caller.QuotaUse) {
	b.borrowing(d).account.GiveBack(u, b.clock.Now())
}

// borrowing returns the state of the customer d.
func (b *Borrower) borrowing(d lavenderridge.CustomerID) *borrowing {
	if w, o := b.accounts.Load(d); o {
		return w.(*borrowing)
	}
	w := &borrowing{account: caller.NewQuotaAccount(d, b.instance, b.bounds, b.start)}
	n := make(chan struct{})
	w.answered.Store(&n)
	o, _ := b.accounts.LoadOrStore(d, w)
	return o.(*borrowing)
}

// check queues w if its account needs a loan. If the queue is full, a later request
// queues it.
func (b *Borrower) check(w *borrowing) {
	if w.asking.Load() {
		return
	}
	switch w.account.Need(b.clock.Now()) {
	case caller.QuotaNeedNow:
		enqueue(b.now, &w.queuedNow, w)
	case caller.QuotaNeedSoon:
		enqueue(b.soon, &w.queuedSoon, w)
	case caller.QuotaNeedNone:
	}
}

// enqueue puts w into the queue q unless o shows that it is there.
func enqueue(q chan *borrowing, o *atomic.Bool, w *borrowing) {
	if !o.CompareAndSwap(false, true) {
		return
	}
	select {
	case q <- w:
	default:
		o.Store(false)
	}
}

// ask asks for what the borrowings a need, with one call to each home.
func (b *Borrower) ask(c context.Context, g *sync.WaitGroup, a []*borrowing) {
	t := b.clock.Now()
	m := map[*lavenderridge.Instance][]question{}
	for _, w := range a {
		w.queuedSoon.Store(false)
		if !w.asking.CompareAndSwap(false, true) {
			continue
		}
		if q := w.account.Ask(t); q != nil {
			m[q.Home] = append(m[q.Home], question{borrowing: w, ask: q})
		} else {
			w.finish()
		}
	}
	for n, v := range m {
		select {
		case b.running <- struct{}{}:
			g.Go(func() {
				defer func() { <-b.running }()
				b.borrow(c, n, v)
			})
		default:
			b.apply(v, nil)
		}
	}
}

// borrow sends the questions a to the home n and applies its reply.
func (b *Borrower) borrow(c context.Context, n *lavenderridge.Instance, a []question) {
	q := &lavenderridge.LoanRequest{Sender: lavenderridge.Sender{Instance: b.instance}, Wants: make([]lavenderridge.LoanWant, len(a))}
	for i, v := range a {
		q.Wants[i] = v.ask.Want
	}
	c, f := context.WithTimeout(c, loanTimeout)
	defer f()
	k := b.local
	if n.ID != b.instance {
		b.counters.asked.Inc(1)
		k = b.peers.Dial(n).Borrow
	}
	p, e := k(c, q)
	if e != nil || len(p.Grants) != len(a) {
		b.counters.failed.Inc(1)
		p = nil
	}
	b.apply(a, p)
}

// apply ends the questions a with the reply p, or nil if there was none.
func (b *Borrower) apply(a []question, p *lavenderridge.Loan) {
	t := b.clock.Now()
	for i, v := range a {
		if p == nil {
			v.borrowing.account.Fail(v.ask, t)
		} else {
			v.borrowing.account.Answer(v.ask, p.Grants[i], t)
		}
		v.borrowing.finish()
		b.check(v.borrowing)
	}
}

// finish ends a question and wakes the requests that wait for its reply.
func (w *borrowing) finish() {
	n := make(chan struct{})
	w.asking.Store(false)
	close(*w.answered.Swap(&n))
}
