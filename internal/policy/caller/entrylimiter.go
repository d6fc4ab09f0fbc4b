package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	defaultCapacity lavenderridge.Slots = 4096

	busyRetryAfter = time.Second
)

// An EntryLimiter keeps the limits of each entry at one daemon, and sheds the
// lower classes first when the daemon itself has much in flight.
type EntryLimiter struct {
	start    time.Time
	capacity lavenderridge.Slots
	inFlight atomic.Int64
	gates    sync.Map // of lavenderridge.EntryID to *entryGate
}

// entryGate counts the requests of one entry.
type entryGate struct {
	inFlight atomic.Int64
	// arrival is the time since start at which the next request is due by the
	// entry's rate.
	arrival atomic.Int64
}

// NewEntryLimiter returns a limiter that starts at t and bounds the requests
// in flight by n, or by 4,096 when n is zero.
func NewEntryLimiter(t time.Time, n lavenderridge.Slots) *EntryLimiter {
	if n == 0 {
		n = defaultCapacity
	}
	return &EntryLimiter{start: t, capacity: n}
}

// Enter admits a request of the class k under the entry e at the time t, or
// returns a refusal. Leave must follow each admission.
func (l *EntryLimiter) Enter(e *lavenderridge.Entry, k lavenderridge.Class, t time.Time) error {
	if lavenderridge.Slots(l.inFlight.Add(1)) > share(l.capacity, k) {
		l.inFlight.Add(-1)
		return busy(lavenderridge.ReasonOverloaded, busyRetryAfter, "the daemon has too much in flight")
	}
	g := l.gate(e.ID)
	if n := g.inFlight.Add(1); e.Limits.Concurrency > 0 && lavenderridge.Slots(n) > e.Limits.Concurrency {
		l.Leave(e)
		return busy(lavenderridge.ReasonLimit, busyRetryAfter, "the entry has too much in flight")
	}
	if d := g.due(e.Limits.Rate, t.Sub(l.start)); d > 0 {
		l.Leave(e)
		return busy(lavenderridge.ReasonLimit, d, "the entry's rate is reached")
	}
	return nil
}

// Leave ends a request of the entry e.
func (l *EntryLimiter) Leave(e *lavenderridge.Entry) {
	l.gate(e.ID).inFlight.Add(-1)
	l.inFlight.Add(-1)
}

// share returns the part of n that requests of the class k may fill.
func share(n lavenderridge.Slots, k lavenderridge.Class) lavenderridge.Slots {
	switch k {
	case lavenderridge.ClassCritical:
		return n
	case lavenderridge.ClassNormal:
		return max(n*4/5, 1)
	default:
		return max(n/2, 1)
	}
}

func (l *EntryLimiter) gate(d lavenderridge.EntryID) *entryGate {
	if g, o := l.gates.Load(d); o {
		return g.(*entryGate)
	}
	g, _ := l.gates.LoadOrStore(d, &entryGate{})
	return g.(*entryGate)
}

// due takes the next place by the rate r and returns zero, or returns the time
// until there is one. A second's worth may come at once.
func (g *entryGate) due(r lavenderridge.Rate, t time.Duration) time.Duration {
	if r <= 0 {
		return 0
	}
	i := int64(float64(time.Second) / float64(r))
	for {
		a := g.arrival.Load()
		n := max(a, int64(t)) + i
		if w := time.Duration(n) - t - max(time.Second, time.Duration(i)); w > 0 {
			return w
		}
		if g.arrival.CompareAndSwap(a, n) {
			return 0
		}
	}
}

func busy(r lavenderridge.Reason, d time.Duration, s string) error {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, s)
	f.RetryAfter = d
	return f
}
