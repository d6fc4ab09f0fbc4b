package peer

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// minLoanWait is the shortest time after which a daemon that got less than it
	// wanted asks again.
	minLoanWait = 200 * time.Millisecond
	// maxLoanWait bounds that time.
	maxLoanWait = 5 * time.Second
	// askRate is the number of requests for loans in a second, for one customer, above
	// which a home makes the daemons ask less often.
	askRate = 50
	// askMemory is the time over which these are counted.
	askMemory = time.Second
	// maxLoanWants bounds the customers in one request.
	maxLoanWants = 1024
)

// A LoanLedger lends out of the quotas of the customers whose home the daemon is. It
// keeps one token bucket for each of them and uses no locks.
type LoanLedger struct {
	self    lavenderridge.InstanceID
	bounds  QuotaBounds
	lists   atomic.Pointer[[]listPeriod]
	buckets sync.Map // of lavenderridge.CustomerID to *loanBucket
}

// listPeriod is an instance list and the time since which it is in force.
type listPeriod struct {
	list  *lavenderridge.InstanceList
	since time.Time
}

// loanBucket is the part of one customer's quota that a home lends.
type loanBucket struct {
	state atomic.Pointer[bucketState]
	// homes are those under the latest list.
	homes atomic.Pointer[bucketHomes]
}

// bucketHomes is the number of the homes of a customer under an instance list.
type bucketHomes struct {
	list  *lavenderridge.InstanceList
	count int
}

// bucketState is the immutable state of a loanBucket at the time at.
type bucketState struct {
	at    time.Time
	level float64
	// opens is when the home may begin to lend.
	opens time.Time
	// asks is the number of requests in the recent past.
	asks float64
}

// NewLoanLedger returns the ledger of the instance n.
func NewLoanLedger(n lavenderridge.InstanceID, b QuotaBounds) *LoanLedger {
	return &LoanLedger{self: n, bounds: b}
}

// Observe records that the instance list l is in force at the time t. It forgets the
// customers whose home the daemon is no longer.
func (l *LoanLedger) Observe(v *lavenderridge.InstanceList, t time.Time) {
	o := l.lists.Load()
	if o != nil && (*o)[len(*o)-1].list == v {
		return
	}
	var a []listPeriod
	if o != nil {
		a = slices.Clone(*o)
		// The oldest period that is kept covers the whole takeover time.
		for len(a) > 1 && t.Sub(a[1].since) > l.bounds.TakeoverTime() {
			a = a[1:]
		}
	}
	a = append(a, listPeriod{list: v, since: t})
	if !l.lists.CompareAndSwap(o, &a) {
		return
	}
	l.buckets.Range(func(k, _ any) bool {
		if NewLoanHomes(v, k.(lavenderridge.CustomerID)).Index(l.self) < 0 {
			l.buckets.Delete(k)
		}
		return true
	})
}

// Lend returns what the daemon lends on the request q under the snapshot s at the time
// t. The age g is that of the newest word of the source.
func (l *LoanLedger) Lend(s *lavenderridge.Snapshot, q *lavenderridge.LoanRequest, g time.Duration, t time.Time) *lavenderridge.Loan {
	l.Observe(s.List, t)
	p := &lavenderridge.Loan{Grants: make([]lavenderridge.LoanGrant, min(len(q.Wants), maxLoanWants))}
	for i := range p.Grants {
		p.Grants[i] = lavenderridge.LoanGrant{Wait: minLoanWait, Refused: true}
		if g <= l.bounds.MaxSourceAge() {
			p.Grants[i] = l.lend(s, &q.Wants[i], t)
		}
	}
	return p
}

// Customers returns the number of customers out of whose quotas the daemon has lent.
func (l *LoanLedger) Customers() int {
	n := 0
	l.buckets.Range(func(any, any) bool {
		n++
		return true
	})
	return n
}

func (l *LoanLedger) lend(s *lavenderridge.Snapshot, w *lavenderridge.LoanWant, t time.Time) lavenderridge.LoanGrant {
	v := s.Customer(w.Customer)
	var b *loanBucket
	h := 0
	if v != nil && v.Quota.Rate > 0 {
		b, h = l.bucket(s.List, w.Customer)
	}
	if b == nil {
		return lavenderridge.LoanGrant{Wait: minLoanWait, Refused: true}
	}
	r, c := float64(v.Quota.Rate)/float64(h), l.bounds.Capacity(v.Quota, h)
	for {
		o := b.state.Load()
		n := o.after(t, r, c, w)
		if !l.settled(t) && w.Tenure > 0 && w.Tenure < l.bounds.TakeoverTime() {
			n.opens, n.level = laterOf(n.opens, t.Add(l.bounds.TakeoverTime()-w.Tenure)), 0
		}
		g := n.grant(w, r)
		if b.state.CompareAndSwap(o, n) {
			return g
		}
	}
}

// settled reports whether the ledger has seen every instance list of the last takeover
// time. Until then it relies on the tenures that other daemons report.
func (l *LoanLedger) settled(t time.Time) bool {
	return t.Sub((*l.lists.Load())[0].since) >= l.bounds.TakeoverTime()
}

// bucket returns the bucket of the customer d and the number of its homes under the list
// v, or nil if the daemon is none of them.
func (l *LoanLedger) bucket(v *lavenderridge.InstanceList, d lavenderridge.CustomerID) (*loanBucket, int) {
	o, k := l.buckets.Load(d)
	if k {
		if h := o.(*loanBucket).homes.Load(); h.list == v {
			return o.(*loanBucket), h.count
		}
	}
	n := NewLoanHomes(v, d)
	if n.Index(l.self) < 0 {
		return nil, 0
	}
	h := &bucketHomes{list: v, count: len(n)}
	if !k {
		b := &loanBucket{}
		b.state.Store(l.newState(d))
		b.homes.Store(h)
		o, _ = l.buckets.LoadOrStore(d, b)
	}
	o.(*loanBucket).homes.Store(h)
	return o.(*loanBucket), h.count
}

// newState returns the state of a new bucket, which is filled since the daemon may lend,
// from empty, because what was lent before is not known.
func (l *LoanLedger) newState(d lavenderridge.CustomerID) *bucketState {
	a := *l.lists.Load()
	n := &bucketState{at: a[0].since, opens: a[0].since}
	for i := len(a) - 1; i > 0; i-- {
		if NewLoanHomes(a[i-1].list, d).Index(l.self) < 0 {
			n.opens = a[i].since.Add(l.bounds.TakeoverTime())
			break
		}
	}
	return n
}

// after returns the state at t, after the request w, of a bucket that is filled at the
// rate r and holds c.
func (o *bucketState) after(t time.Time, r, c float64, w *lavenderridge.LoanWant) *bucketState {
	d := max(t.Sub(o.at), 0)
	n := &bucketState{at: laterOf(o.at, t), opens: o.opens}
	f := d
	if o.at.Before(o.opens) {
		f = max(t.Sub(o.opens), 0)
	}
	n.level = min(o.level+r*f.Seconds()+float64(max(w.Returned, 0)), c)
	n.asks = o.asks*math.Exp(-d.Seconds()/askMemory.Seconds()) + 1
	return n
}

// grant takes what is lent for w out of the bucket, which is filled at the rate r.
func (o *bucketState) grant(w *lavenderridge.LoanWant, r float64) lavenderridge.LoanGrant {
	if o.at.Before(o.opens) {
		return lavenderridge.LoanGrant{Wait: min(max(o.opens.Sub(o.at), minLoanWait), maxLoanWait), Refused: true}
	}
	g := min(max(w.Requests, 0), lavenderridge.Requests(o.level))
	o.level -= float64(g)
	if g >= w.Requests {
		return lavenderridge.LoanGrant{Requests: g}
	}
	p := time.Duration(float64(minLoanWait) * max(o.asks/askRate, 1))
	u := time.Duration((1 - (o.level - math.Floor(o.level))) / r * float64(time.Second))
	return lavenderridge.LoanGrant{Requests: g, Wait: min(max(p, u), maxLoanWait)}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
