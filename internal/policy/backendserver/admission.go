package backendserver

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// aloneBit is set in the state while a request runs alone or is the next
	// to do so; then no other is admitted.
	aloneBit int64 = 1 << 32
	// minRetryAfter is the least wait that a refusal advises.
	minRetryAfter = 50 * time.Millisecond
)

// An Admission lets requests in up to the limit, lets a few more wait by
// class, and refuses the others. A request that need not wait takes no lock.
type Admission struct {
	limiter *Limiter
	state   atomic.Int64 // requests in flight, and aloneBit
	waiting atomic.Int64

	// mutex guards what follows. It is taken only when a request has to wait
	// anyway, or when one that waits may be let in.
	mutex     sync.Mutex
	queue     []*Waiter // highest class first, then by objective and arrival
	aloneRuns bool
	aloneAsks int
	blocked   time.Time // when the request that runs alone began to hold up others
	aloneFrom time.Time // when the next may run alone
}

// NewAdmission returns an admission with no request in it, bound by l.
func NewAdmission(l *Limiter) *Admission {
	return &Admission{limiter: l}
}

// Enter asks for a slot for a request of the class k with the deadline d, where
// the service v bounds the backend server. It returns nil and nil when the
// request is admitted, a Waiter when it has to wait, or a Refusal.
func (a *Admission) Enter(v *lavenderridge.Service, k lavenderridge.Class, d, t time.Time) (*Waiter, error) {
	return a.EnterOrdered(v, k, d, time.Time{}, t)
}

// EnterOrdered is like Enter for a request that goes before those of its class
// whose objective is later than o.
func (a *Admission) EnterOrdered(v *lavenderridge.Service, k lavenderridge.Class, d, o, t time.Time) (*Waiter, error) {
	if a.waiting.Load() == 0 && a.take(a.limit(v)) {
		return nil, nil
	}
	return a.enterSlowly(&Waiter{service: v, class: k, deadline: d, objective: o}, t)
}

// EnterAlone is like Enter for a request that must run with no other.
func (a *Admission) EnterAlone(v *lavenderridge.Service, k lavenderridge.Class, d, t time.Time) (*Waiter, error) {
	return a.enterSlowly(&Waiter{service: v, class: k, deadline: d, alone: true}, t)
}

// Leave gives back the slot of a request that Enter admitted.
func (a *Admission) Leave(t time.Time) {
	a.state.Add(-1)
	if a.waiting.Load() > 0 {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.serve(t)
	}
}

// LeaveAlone gives back the slot of a request that EnterAlone admitted.
func (a *Admission) LeaveAlone(t time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.aloneRuns = false
	a.leaveTime(t)
	a.state.Add(-1)
	a.markAlone(t)
	a.serve(t)
}

// Abandon takes w out of the queue and reports true, or reports false when w
// is decided already.
func (a *Admission) Abandon(w *Waiter, t time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	i := slices.Index(a.queue, w)
	if i < 0 {
		return false
	}
	a.remove(i, t)
	a.serve(t)
	return true
}

// Load returns what the backend server bears, where v bounds it; v may be nil.
func (a *Admission) Load(v *lavenderridge.Service) lavenderridge.Load {
	l := lavenderridge.Load{
		InFlight: a.InFlight(),
		Queued:   lavenderridge.Slots(a.waiting.Load()),
	}
	if v != nil {
		l.Limit = a.limit(v)
	}
	return l
}

// InFlight returns the number of requests admitted.
func (a *Admission) InFlight() lavenderridge.Slots {
	return lavenderridge.Slots(a.state.Load() &^ aloneBit)
}

// limit leaves one connection for health checks.
func (a *Admission) limit(v *lavenderridge.Service) lavenderridge.Slots {
	n := min(v.Slots, max(1, lavenderridge.Slots(v.Connections)-1))
	return a.limiter.Limit(n)
}

// take takes a slot if fewer than n are taken and no request runs alone.
func (a *Admission) take(n lavenderridge.Slots) bool {
	for {
		u := a.state.Load()
		if u >= int64(n) {
			return false
		}
		if a.state.CompareAndSwap(u, u+1) {
			return true
		}
	}
}

// enterSlowly counts w as waiting before it looks for a slot, so that a slot
// given back meanwhile is either found here or offered to the queue.
func (a *Admission) enterSlowly(w *Waiter, t time.Time) (*Waiter, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiting.Add(1)
	a.dropLate(t)
	if !w.alone && len(a.queue) == 0 && a.take(a.limit(w.service)) {
		a.waiting.Add(-1)
		return nil, nil
	}
	if e := a.refusal(w, t); e != nil {
		a.waiting.Add(-1)
		a.serve(t)
		return nil, e
	}
	w.decided = make(chan struct{})
	a.insert(w, t)
	a.serve(t)
	select {
	case <-w.decided:
		return nil, w.err
	default:
		return w, nil
	}
}

// refusal returns why w may not wait, or nil. It may refuse a waiter of a
// lower class to make room.
func (a *Admission) refusal(w *Waiter, t time.Time) error {
	if w.alone && (a.aloneRuns || a.aloneAsks > 0 || t.Before(a.aloneFrom)) {
		return a.refuse(lavenderridge.ReasonSuspectBusy, "another suspect of a crash runs alone", max(minRetryAfter, a.aloneFrom.Sub(t)))
	}
	d := a.wait(w)
	if !w.deadline.IsZero() && t.Add(d+a.limiter.Latency()).After(w.deadline) {
		return a.refuse(lavenderridge.ReasonOverloaded, "the wait for a slot would outlast the deadline", d)
	}
	if len(a.queue) < a.room(w) || a.evict(w, d, t) {
		return nil
	}
	return a.refuse(lavenderridge.ReasonOverloaded, "all slots are taken and the queue is full", d)
}

// room returns how many may wait. One request that runs alone may always wait.
func (a *Admission) room(w *Waiter) int {
	if w.alone {
		return max(1, int(w.service.Queue))
	}
	return int(w.service.Queue)
}

// wait returns how long w would wait behind those that go before it.
func (a *Admission) wait(w *Waiter) time.Duration {
	n := a.position(w) + 1
	return a.limiter.Latency() * time.Duration(n) / time.Duration(a.limit(w.service))
}

func (a *Admission) position(w *Waiter) int {
	for i, o := range a.queue {
		if o.class < w.class || o.class == w.class && w.precedes(o) {
			return i
		}
	}
	return len(a.queue)
}

// evict refuses the last waiter if its class is lower than that of w.
func (a *Admission) evict(w *Waiter, d time.Duration, t time.Time) bool {
	i := len(a.queue) - 1
	if i < 0 || a.queue[i].class >= w.class {
		return false
	}
	o := a.queue[i]
	a.remove(i, t)
	o.decide(a.refuse(lavenderridge.ReasonOverloaded, "a request of a higher class took the place in the queue", d))
	return true
}

func (a *Admission) insert(w *Waiter, t time.Time) {
	a.queue = slices.Insert(a.queue, a.position(w), w)
	if w.alone {
		a.aloneAsks++
	}
	a.markAlone(t)
}

// remove takes the waiter i out of the queue.
func (a *Admission) remove(i int, t time.Time) {
	if a.queue[i].alone {
		a.aloneAsks--
		a.leaveTime(t)
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	a.waiting.Add(-1)
	a.markAlone(t)
}

// leaveTime lets the next request run alone only after others could run for as
// long as this one has kept them waiting.
func (a *Admission) leaveTime(t time.Time) {
	if a.state.Load()&aloneBit != 0 {
		a.aloneFrom = t.Add(t.Sub(a.blocked))
	}
}

// markAlone keeps aloneBit in step with the queue.
func (a *Admission) markAlone(t time.Time) {
	if !a.aloneRuns && (len(a.queue) == 0 || !a.queue[0].alone) {
		a.state.And(^aloneBit)
		return
	}
	if a.state.Or(aloneBit)&aloneBit == 0 {
		a.blocked = t
	}
}

// dropLate refuses the waiters that would not be answered by their deadline.
func (a *Admission) dropLate(t time.Time) {
	n := t.Add(a.limiter.Latency())
	for i := len(a.queue) - 1; i >= 0; i-- {
		if w := a.queue[i]; w.late(n) {
			a.remove(i, t)
			w.decide(a.refuse(lavenderridge.ReasonDeadline, "no slot was free in time for the deadline", 0))
		}
	}
}

// serve gives slots to the first waiters while there are any.
func (a *Admission) serve(t time.Time) {
	a.dropLate(t)
	for len(a.queue) > 0 && a.admit(a.queue[0], t) {
		continue
	}
}

// admit gives the first waiter w a slot if there is one.
func (a *Admission) admit(w *Waiter, t time.Time) bool {
	if w.alone {
		return a.admitAlone(w, t)
	}
	if !a.take(a.limit(w.service)) {
		return false
	}
	a.remove(0, t)
	w.decide(nil)
	return true
}

// admitAlone keeps others out until none is in flight, and then admits w.
func (a *Admission) admitAlone(w *Waiter, t time.Time) bool {
	if a.aloneRuns || !a.state.CompareAndSwap(aloneBit, aloneBit+1) {
		return false
	}
	a.aloneRuns = true
	a.remove(0, t)
	w.decide(nil)
	return true
}

func (a *Admission) refuse(r lavenderridge.Reason, d string, w time.Duration) error {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, d)
	f.RetryAfter = max(minRetryAfter, w)
	return f
}
