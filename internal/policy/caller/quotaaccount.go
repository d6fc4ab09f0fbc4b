package caller

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

const (
	// maxShare bounds the share of one daemon.
	maxShare = 16
	// homesOfAccount is the largest number of homes of one customer.
	homesOfAccount = 2
	// lowLoan is the part of a loan, one in lowLoan, at which the next one is asked for.
	lowLoan = 3
	// demandMemory is the time over which the demand is averaged.
	demandMemory = 500 * time.Millisecond
	// maxWant bounds what is asked for at once.
	maxWant = 1 << 16
	// minHomeBackoff and maxHomeBackoff bound the time for which a home that did not
	// answer is not asked.
	minHomeBackoff = 250 * time.Millisecond
	maxHomeBackoff = time.Second
)

// A QuotaAccount holds what one daemon may admit of one customer's quota: what a home
// has lent, until it ends, and a small share of the daemon's own for requests that come
// before a loan does. A place in the share that has been used is free again after one
// window, or as soon as a home has lent a request for it. All of it is lock-free.
type QuotaAccount struct {
	customer lavenderridge.CustomerID
	self     lavenderridge.InstanceID
	bounds   peer.QuotaBounds
	start    time.Time

	terms atomic.Pointer[quotaTerms]
	loan  atomic.Pointer[quotaLoan]
	// share holds when each place is free, in nanoseconds since start.
	share [maxShare]atomic.Int64
	// returned is what is to be returned of ended loans.
	returned atomic.Int64
	waiting  atomic.Int64
	// demand counts requests since the last question.
	demand atomic.Int64
	homes  [homesOfAccount]homeState

	// askedAt and rate are used by the one question at a time.
	askedAt time.Time
	rate    float64
}

// quotaTerms are what follows from a catalogue and an instance list.
type quotaTerms struct {
	list   *lavenderridge.InstanceList
	quota  lavenderridge.Quota
	homes  peer.LoanHomes
	first  int // the home to ask first
	places int
	// since is when each home was first seen; zero if no other was seen before.
	since [homesOfAccount]time.Time
}

// quotaLoan is what a home has lent.
type quotaLoan struct {
	size int64
	left atomic.Int64
	// asked and end are in nanoseconds since the account's start.
	asked, end int64
}

// homeState is when one home may be asked, and the failures in a row, where a home that may
// not lend counts as one.
type homeState struct {
	opens    atomic.Int64
	failures atomic.Int64
}

// NewQuotaAccount returns the account of the customer d at the instance n. The process
// began at b; its predecessor may have used the share until then.
func NewQuotaAccount(d lavenderridge.CustomerID, n lavenderridge.InstanceID, u peer.QuotaBounds, b time.Time) *QuotaAccount {
	a := &QuotaAccount{customer: d, self: n, bounds: u, start: b}
	for i := range a.share {
		a.share[i].Store(int64(u.Window))
	}
	return a
}

// Update puts the quota q and the instance list l in force at the time t.
func (a *QuotaAccount) Update(q lavenderridge.Quota, l *lavenderridge.InstanceList, t time.Time) {
	o := a.terms.Load()
	if o != nil && o.list == l && o.quota == q {
		return
	}
	n := &quotaTerms{list: l, quota: q}
	i := peer.LoanRank(l, a.customer, a.self)
	n.places = min(a.bounds.Share(q, i, len(l.Instances)), maxShare)
	n.homes = peer.NewLoanHomes(l, a.customer)
	if len(n.homes) > 0 {
		n.first = max(i, 0) % len(n.homes)
	}
	if o != nil {
		n.inherit(o, t)
		// Another daemon may have used a place that is new here.
		for j := o.places; j < n.places; j++ {
			a.share[j].Store(int64(t.Sub(a.start) + a.bounds.Window))
		}
	}
	if a.terms.CompareAndSwap(o, n) && o != nil && !sameHomes(o.homes, n.homes) {
		for j := range a.homes {
			a.homes[j].opens.Store(0)
			a.homes[j].failures.Store(0)
		}
	}
}

// inherit sets since when n's homes are known from the terms o before.
func (n *quotaTerms) inherit(o *quotaTerms, t time.Time) {
	for i, h := range n.homes {
		n.since[i] = t
		if j := o.homes.Index(h.ID); j >= 0 {
			n.since[i] = o.since[j]
		}
	}
}

func sameHomes(a, b peer.LoanHomes) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID {
			return false
		}
	}
	return true
}

// Terms describes the account for operators: the homes of the quota and the daemon's own
// share of a window.
func (a *QuotaAccount) Terms() string {
	v := a.terms.Load()
	if v == nil {
		return "no terms"
	}
	s := "homes"
	for _, h := range v.homes {
		s += " " + string(h.ID)
	}
	return fmt.Sprintf("%s; own share %d", s, v.places)
}

// Arrive counts a request of the customer. Take is called for it once or more.
func (a *QuotaAccount) Arrive() {
	a.demand.Add(1)
}

// Take admits a request at the time t if the account has room for it. Where the answer
// is QuotaExceeded, the second result is the time until a home may be asked again. No more
// requests wait than may run in a window.
func (a *QuotaAccount) Take(t time.Time) (QuotaUse, time.Duration, QuotaAnswer) {
	n := int64(t.Sub(a.start))
	if l := a.loan.Load(); l != nil && n < l.end && l.take() {
		return QuotaUse{loan: l}, 0, QuotaAdmitted
	}
	v := a.terms.Load()
	for i := range v.places {
		o := a.share[i].Load()
		if u := n + int64(a.bounds.Window); o <= n && a.share[i].CompareAndSwap(o, u) {
			return QuotaUse{slot: i, until: u}, 0, QuotaAdmitted
		}
	}
	w := int64(math.MaxInt64)
	for i := range v.homes {
		w = min(w, a.homes[i].opens.Load()-n)
	}
	switch {
	case len(v.homes) == 0:
		return QuotaUse{}, minHomeBackoff, QuotaUnreachable
	case w <= 0 && a.waiting.Load() > int64(a.bounds.Most(v.quota)):
		return QuotaUse{}, peer.LoanAskDelay, QuotaExceeded
	case w <= 0:
		return QuotaUse{}, 0, QuotaPending
	case a.unreachable(v):
		return QuotaUse{}, time.Duration(w), QuotaUnreachable
	}
	return QuotaUse{}, time.Duration(w), QuotaExceeded
}

// unreachable reports whether no home lent at the last question.
func (a *QuotaAccount) unreachable(v *quotaTerms) bool {
	for i := range v.homes {
		if a.homes[i].failures.Load() == 0 {
			return false
		}
	}
	return true
}

// take takes one request out of l, if there is one.
func (l *quotaLoan) take() bool {
	for {
		o := l.left.Load()
		if o <= 0 {
			return false
		}
		if l.left.CompareAndSwap(o, o-1) {
			return true
		}
	}
}

// GiveBack returns the use u of a request that reached no backend server. What was lent
// too long ago is not returned, because the home may have filled its place already.
func (a *QuotaAccount) GiveBack(u QuotaUse, t time.Time) {
	if u.loan == nil {
		a.share[u.slot].CompareAndSwap(u.until, 0)
		return
	}
	n := int64(t.Sub(a.start))
	switch {
	case a.loan.Load() == u.loan && n < u.loan.end:
		u.loan.left.Add(1)
	case n < u.loan.asked+int64(a.bounds.ReturnTime()):
		a.returned.Add(1)
	}
}

// Wait registers a request that waits for a loan; Leave ends that.
func (a *QuotaAccount) Wait() {
	a.waiting.Add(1)
}

// Leave ends a Wait.
func (a *QuotaAccount) Leave() {
	a.waiting.Add(-1)
}

// Need reports when the account should ask for a loan.
func (a *QuotaAccount) Need(t time.Time) QuotaNeed {
	n := int64(t.Sub(a.start))
	v := a.terms.Load()
	if v == nil || a.homeToAsk(v, n) < 0 {
		return QuotaNeedNone
	}
	l := a.loan.Load()
	if a.waiting.Load() > l.usable(n) {
		return QuotaNeedNow
	}
	if l != nil && l.size >= lowLoan && n < l.end && l.left.Load() <= l.size/lowLoan {
		return QuotaNeedNow
	}
	// A single place is left to the next request that waits, or to its time: most of
	// the customers of a daemon send it less than one request a window.
	if v.places > 1 && 2*a.owed(v, n) > int64(v.places) {
		return QuotaNeedSoon
	}
	return QuotaNeedNone
}

// usable returns what is left of the loan l at n, the time since the account's start.
func (l *quotaLoan) usable(n int64) int64 {
	if l == nil || n >= l.end {
		return 0
	}
	return l.left.Load()
}

// owed returns how many places of the share are used, without those that were taken at
// the start.
func (a *QuotaAccount) owed(v *quotaTerms, n int64) int64 {
	var s int64
	for i := range v.places {
		if o := a.share[i].Load(); o > n && o != int64(a.bounds.Window) {
			s++
		}
	}
	return s
}

// homeToAsk returns the place of the home to ask, or -1 if none may be asked.
func (a *QuotaAccount) homeToAsk(v *quotaTerms, n int64) int {
	for i := range v.homes {
		if j := (v.first + i) % len(v.homes); a.homes[j].opens.Load() <= n {
			return j
		}
	}
	return -1
}

// Ask returns the next question, or nil if there is none. One question may be under way
// at a time: Answer or Fail ends it.
func (a *QuotaAccount) Ask(t time.Time) *QuotaAsk {
	n := int64(t.Sub(a.start))
	v := a.terms.Load()
	if v == nil {
		return nil
	}
	j := a.homeToAsk(v, n)
	if j < 0 {
		return nil
	}
	w := lavenderridge.LoanWant{Customer: a.customer, Returned: a.takeReturned(n)}
	m := a.waiting.Load() + a.expected(v, t) - a.loan.Load().usable(n)
	w.Requests = lavenderridge.Requests(min(max(m, 0)+a.owed(v, n), maxWant))
	if w.Requests <= 0 && w.Returned == 0 {
		return nil
	}
	if s := v.since[j]; !s.IsZero() {
		w.Tenure = max(t.Sub(s), 1)
	}
	return &QuotaAsk{Home: v.homes[j], Want: w, home: j, at: t}
}

// takeReturned returns what is left of an ended loan that may still be returned, and
// what was given back.
func (a *QuotaAccount) takeReturned(n int64) lavenderridge.Requests {
	if l := a.loan.Load(); l != nil && n >= l.end {
		if r := l.left.Swap(0); r > 0 && n < l.asked+int64(a.bounds.ReturnTime()) {
			a.returned.Add(r)
		}
	}
	return lavenderridge.Requests(a.returned.Swap(0))
}

// expected returns how many requests are expected while the next loan lasts.
func (a *QuotaAccount) expected(v *quotaTerms, t time.Time) int64 {
	if d := t.Sub(a.askedAt).Seconds(); a.askedAt.IsZero() || d > 0 {
		r := float64(a.demand.Swap(0))
		if !a.askedAt.IsZero() {
			x := math.Exp(-d / demandMemory.Seconds())
			a.rate = a.rate*x + r/d*(1-x)
		}
		a.askedAt = t
	}
	return int64(min(a.rate, float64(v.quota.Rate)) * a.bounds.LoanTime().Seconds())
}

// Answer applies the grant g, the reply to q that arrived at t.
func (a *QuotaAccount) Answer(q *QuotaAsk, g lavenderridge.LoanGrant, t time.Time) {
	n := int64(t.Sub(a.start))
	h := &a.homes[q.home]
	h.failures.Store(0)
	if g.Refused {
		h.failures.Store(1)
	}
	if g.Wait > 0 {
		h.opens.Store(n + int64(g.Wait))
	}
	r := int64(min(g.Requests, q.Want.Requests))
	if r <= 0 {
		return
	}
	r = a.repay(r, n)
	l := &quotaLoan{size: r, asked: int64(q.at.Sub(a.start))}
	l.end = l.asked + int64(a.bounds.LoanTime())
	l.left.Store(r)
	if o := a.loan.Swap(l); o != nil {
		if m := o.left.Swap(0); m > 0 && n < o.asked+int64(a.bounds.ReturnTime()) {
			a.returned.Add(m)
		}
	}
}

// repay frees used places of the share with what was lent beyond what waiting requests
// need. It returns what remains of r.
func (a *QuotaAccount) repay(r, n int64) int64 {
	w := a.waiting.Load()
	for i := range a.share {
		if r <= w {
			break
		}
		if o := a.share[i].Load(); o > n && o != int64(a.bounds.Window) && a.share[i].CompareAndSwap(o, 0) {
			r--
		}
	}
	return r
}

// Fail records that the home did not answer q, at the time t.
func (a *QuotaAccount) Fail(q *QuotaAsk, t time.Time) {
	h := &a.homes[q.home]
	f := min(h.failures.Add(1), 4)
	h.opens.Store(int64(t.Sub(a.start)) + int64(min(minHomeBackoff<<(f-1), maxHomeBackoff)))
}
