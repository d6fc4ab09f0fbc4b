package backendserver

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// exclusiveBit is set in Admission.state while an exclusive request runs
	// or is first in the queue. No other request is admitted while it is set.
	exclusiveBit int64 = 1 << 32
	// minRetryAfter is the shortest retry delay that a refusal advises.
	minRetryAfter = 50 * time.Millisecond
)

// An Admission admits requests up to the limit, queues a bounded number of
// further ones by class, and refuses the rest. A request that need not wait
// takes no lock.
//
// An exclusive request, which is suspected of crashing the backend server, is
// admitted only when no other request is in flight.
type Admission struct {
	limiter *Limiter
	state   atomic.Int64 // number of requests in flight, plus exclusiveBit
	waiting atomic.Int64

	// mutex guards the fields below. It is taken only for a request that has
	// to wait or is exclusive, and to admit waiting ones.
	mutex            sync.Mutex
	queue            []*Waiter // highest class first, then by turns, objective and arrival
	turns            map[lavenderridge.Class]*turns
	exclusiveRunning bool
	exclusiveWaiting int
	blockedSince     time.Time // when exclusiveBit was set
	nextExclusive    time.Time // earliest time for the next exclusive request
}

// NewAdmission returns an empty admission that takes its limit from l.
func NewAdmission(l *Limiter) *Admission {
	return &Admission{limiter: l, turns: make(map[lavenderridge.Class]*turns)}
}

// TryEnter takes a slot if one is free and no request waits for it. It reports whether it
// has.
func (a *Admission) TryEnter(v *lavenderridge.Service) bool {
	return a.waiting.Load() == 0 && a.takeSlot(a.limit(v))
}

// Enter requests a slot for a request of the class k with the deadline d; the
// service v bounds the slots and the queue. It returns nil and nil when the
// request is admitted, a Waiter when it has to wait, and otherwise a Refusal.
func (a *Admission) Enter(v *lavenderridge.Service, k lavenderridge.Class, d, t time.Time) (*Waiter, error) {
	return a.EnterArrival(v, Arrival{Class: k, Deadline: d}, t)
}

// EnterArrival is like Enter. The request q is queued ahead of those of its class whose
// customers have taken more turns than its own one has, and then of those whose objective
// ends later.
func (a *Admission) EnterArrival(v *lavenderridge.Service, q Arrival, t time.Time) (*Waiter, error) {
	if a.TryEnter(v) {
		return nil, nil
	}
	return a.enterSlow(&Waiter{service: v, class: q.Class, deadline: q.Deadline, objective: q.Objective, customer: q.Customer, cost: q.Cost}, t)
}

// EnterExclusive is like Enter for an exclusive request, which runs while no
// other request is in flight.
func (a *Admission) EnterExclusive(v *lavenderridge.Service, k lavenderridge.Class, d, t time.Time) (*Waiter, error) {
	return a.enterSlow(&Waiter{service: v, class: k, deadline: d, exclusive: true}, t)
}

// Leave releases the slot of a request that Enter admitted.
func (a *Admission) Leave(t time.Time) {
	a.state.Add(-1)
	if a.waiting.Load() > 0 {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.admitWaiting(t)
	}
}

// LeaveExclusive releases the slot of a request that EnterExclusive admitted.
func (a *Admission) LeaveExclusive(t time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.exclusiveRunning = false
	a.delayNextExclusive(t)
	a.state.Add(-1)
	a.updateExclusiveBit(t)
	a.admitWaiting(t)
}

// Abandon removes w from the queue and returns true. It returns false if w has
// already been admitted or refused.
func (a *Admission) Abandon(w *Waiter, t time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	i := slices.Index(a.queue, w)
	if i < 0 {
		return false
	}
	if a.abandon(i, t) {
		a.sort(t)
	}
	a.admitWaiting(t)
	return true
}

// Load returns the number of requests in flight and in the queue, and the
// limit that applies to the service v. If v is nil, the limit is zero.
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

// InFlight returns the number of admitted requests that have not ended.
func (a *Admission) InFlight() lavenderridge.Slots {
	return lavenderridge.Slots(a.state.Load() &^ exclusiveBit)
}

// limit returns the number of slots for the service v. One connection is
// reserved for health checks.
func (a *Admission) limit(v *lavenderridge.Service) lavenderridge.Slots {
	n := min(v.Slots, max(1, lavenderridge.Slots(v.Connections)-1))
	return a.limiter.Limit(n)
}

// takeSlot takes a slot if fewer than n are taken and exclusiveBit is not set:
// the bit makes the state exceed every n.
func (a *Admission) takeSlot(n lavenderridge.Slots) bool {
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

// enterSlow admits, queues or refuses w under the lock. It increments the
// waiting counter before it looks for a slot, so that a slot released
// concurrently is either found here or passed to the queue by Leave.
func (a *Admission) enterSlow(w *Waiter, t time.Time) (*Waiter, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiting.Add(1)
	a.refuseLate(t)
	if !w.exclusive && len(a.queue) == 0 && a.takeSlot(a.limit(w.service)) {
		a.waiting.Add(-1)
		return nil, nil
	}
	a.turnsOf(w).take(w)
	if e := a.refusal(w, t); e != nil {
		a.turnsOf(w).abandoned(w, nil)
		a.waiting.Add(-1)
		a.admitWaiting(t)
		return nil, e
	}
	w.decided = make(chan struct{})
	a.insert(w, t)
	a.admitWaiting(t)
	select {
	case <-w.decided:
		return nil, w.err
	default:
		return w, nil
	}
}

// refusal returns the Refusal if w may not wait, and otherwise nil. It may
// evict a waiter of a lower class to make room.
func (a *Admission) refusal(w *Waiter, t time.Time) error {
	if w.exclusive && (a.exclusiveRunning || a.exclusiveWaiting > 0 || t.Before(a.nextExclusive)) {
		return a.refuse(lavenderridge.ReasonSuspectBusy, "another request suspected of a crash runs exclusively, or did so recently", max(minRetryAfter, a.nextExclusive.Sub(t)))
	}
	d := a.expectedWait(w)
	if !w.deadline.IsZero() && t.Add(d+a.limiter.Latency()).After(w.deadline) {
		return a.refuse(lavenderridge.ReasonOverloaded, "the wait for a slot would outlast the deadline", d)
	}
	if len(a.queue) < a.queueCapacity(w) || a.evict(w, d, t) {
		return nil
	}
	return a.refuse(lavenderridge.ReasonOverloaded, "all slots are taken and the queue is full", d)
}

// queueCapacity returns the length of the queue up to which w may join it. An
// exclusive request may join an empty queue even if the service has no queue.
func (a *Admission) queueCapacity(w *Waiter) int {
	if w.exclusive {
		return max(1, int(w.service.Queue))
	}
	return int(w.service.Queue)
}

// expectedWait estimates how long w would wait, from its position in the queue
// and the recent latency.
func (a *Admission) expectedWait(w *Waiter) time.Duration {
	n := a.queuePosition(w) + 1
	return a.limiter.Latency() * time.Duration(n) / time.Duration(a.limit(w.service))
}

// queuePosition returns the index at which w would be inserted into the queue.
func (a *Admission) queuePosition(w *Waiter) int {
	for i, o := range a.queue {
		if w.precedes(o) {
			return i
		}
	}
	return len(a.queue)
}

// evict refuses the last waiter in the queue if its class is lower than that
// of w, or its customer's turn later. The refusal advises the retry delay d.
func (a *Admission) evict(w *Waiter, d time.Duration, t time.Time) bool {
	i := len(a.queue) - 1
	if i < 0 {
		return false
	}
	o := a.queue[i]
	m := "a request of a higher class took the place in the queue"
	switch {
	case o.class < w.class:
	case o.class == w.class && roundOf(w) < roundOf(o):
		m = "a request of a customer that has sent fewer took the place in the queue"
	default:
		return false
	}
	if a.abandon(i, t) {
		a.sort(t)
	}
	o.decide(a.refuse(lavenderridge.ReasonOverloaded, m, d))
	return true
}

// turnsOf returns the turns of the class of w, or nil if no customer has waited in it.
func (a *Admission) turnsOf(w *Waiter) *turns {
	s := a.turns[w.class]
	if s == nil && w.customer != "" {
		s = newTurns()
		a.turns[w.class] = s
	}
	return s
}

// abandon takes the waiter at the index i, which is not admitted, out of the queue. The
// caller sorts the queue if that reports true.
func (a *Admission) abandon(i int, t time.Time) bool {
	m := a.turnsOf(a.queue[i]).abandoned(a.queue[i], a.queue)
	a.remove(i, t)
	return m
}

// sort sorts the queue after turns have changed.
func (a *Admission) sort(t time.Time) {
	slices.SortStableFunc(a.queue, func(x, y *Waiter) int {
		switch {
		case x.precedes(y):
			return -1
		case y.precedes(x):
			return 1
		}
		return 0
	})
	a.updateExclusiveBit(t)
}

func (a *Admission) insert(w *Waiter, t time.Time) {
	a.queue = slices.Insert(a.queue, a.queuePosition(w), w)
	if w.exclusive {
		a.exclusiveWaiting++
	}
	a.updateExclusiveBit(t)
}

// remove takes the waiter at the index i out of the queue.
func (a *Admission) remove(i int, t time.Time) {
	if a.queue[i].exclusive {
		a.exclusiveWaiting--
		a.delayNextExclusive(t)
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	if len(a.queue) == 0 {
		for _, s := range a.turns {
			s.reset()
		}
	}
	a.waiting.Add(-1)
	a.updateExclusiveBit(t)
}

// delayNextExclusive sets the earliest time for the next exclusive request, so
// that other requests can first run for as long as the current one has blocked
// them.
func (a *Admission) delayNextExclusive(t time.Time) {
	if a.state.Load()&exclusiveBit != 0 {
		a.nextExclusive = t.Add(t.Sub(a.blockedSince))
	}
}

// updateExclusiveBit sets exclusiveBit if an exclusive request runs or is
// first in the queue, and clears it otherwise.
func (a *Admission) updateExclusiveBit(t time.Time) {
	if !a.exclusiveRunning && (len(a.queue) == 0 || !a.queue[0].exclusive) {
		a.state.And(^exclusiveBit)
		return
	}
	if a.state.Or(exclusiveBit)&exclusiveBit == 0 {
		a.blockedSince = t
	}
}

// refuseLate refuses the waiters that would miss their deadline even if they
// were admitted now, and those behind whom others have been inserted ahead until the
// wait would outlast their deadline. The latter have time left for another target.
func (a *Admission) refuseLate(t time.Time) {
	l, m := a.limiter.Latency(), false
	for i := len(a.queue) - 1; i >= 0; i-- {
		w := a.queue[i]
		d := l * time.Duration(i) / time.Duration(a.limit(w.service))
		switch {
		case w.missesDeadline(t.Add(l)):
			m = a.abandon(i, t) || m
			w.decide(a.refuse(lavenderridge.ReasonDeadline, "no slot was free in time for the deadline", 0))
		case w.missesDeadline(t.Add(l + d)):
			m = a.abandon(i, t) || m
			w.decide(a.refuse(lavenderridge.ReasonOverloaded, "requests ahead took the slots that were free in time", d))
		}
	}
	if m {
		a.sort(t)
	}
}

// admitWaiting admits waiters from the front of the queue while slots are
// free.
func (a *Admission) admitWaiting(t time.Time) {
	a.refuseLate(t)
	for len(a.queue) > 0 && a.admit(a.queue[0], t) {
		continue
	}
}

// admit admits the first waiter w if a slot is free.
func (a *Admission) admit(w *Waiter, t time.Time) bool {
	if w.exclusive {
		return a.admitExclusive(w, t)
	}
	if !a.takeSlot(a.limit(w.service)) {
		return false
	}
	a.turnsOf(w).admitted(w)
	a.remove(0, t)
	w.decide(nil)
	return true
}

// admitExclusive admits the first waiter w once no request is in flight. Until
// then, exclusiveBit prevents further admissions.
func (a *Admission) admitExclusive(w *Waiter, t time.Time) bool {
	if a.exclusiveRunning || !a.state.CompareAndSwap(exclusiveBit, exclusiveBit+1) {
		return false
	}
	a.exclusiveRunning = true
	a.remove(0, t)
	w.decide(nil)
	return true
}

func (a *Admission) refuse(r lavenderridge.Reason, d string, w time.Duration) error {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, d)
	f.RetryAfter = max(minRetryAfter, w)
	return f
}
