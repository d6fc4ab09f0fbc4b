package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	defaultCapacity lavenderridge.Slots = 4096

	// limitRetryAfter is the retry delay that a refusal advises if the time until
	// the next free place is not known.
	limitRetryAfter = time.Second
)

// An EntryLimiter enforces the limits of each entry at one daemon. It also
// bounds all requests in flight at the daemon and refuses the lower classes
// first as they approach that bound.
type EntryLimiter struct {
	start    time.Time
	capacity lavenderridge.Slots
	inFlight atomic.Int64
	entries  sync.Map // of lavenderridge.EntryID to *entryState
}

// entryState holds the requests in flight and the rate of one entry.
type entryState struct {
	inFlight atomic.Int64
	// nextArrival is the time since the limiter's start at which the next request
	// arrives if requests come evenly at the entry's rate.
	nextArrival atomic.Int64
}

// NewEntryLimiter returns a limiter that starts at t and bounds the requests
// in flight by n, or by 4,096 when n is zero.
func NewEntryLimiter(t time.Time, n lavenderridge.Slots) *EntryLimiter {
	if n == 0 {
		n = defaultCapacity
	}
	return &EntryLimiter{start: t, capacity: n}
}

// Admit admits a request of the class k under the entry e at the time t, or
// returns a refusal. Release must be called once for each admitted request.
func (l *EntryLimiter) Admit(e *lavenderridge.Entry, k lavenderridge.Class, t time.Time) error {
	if lavenderridge.Slots(l.inFlight.Add(1)) > classCapacity(l.capacity, k) {
		l.inFlight.Add(-1)
		return retryLater(lavenderridge.ReasonOverloaded, limitRetryAfter, "the daemon has reached its limit of requests in flight")
	}
	g := l.state(e.ID)
	if n := g.inFlight.Add(1); e.Limits.Concurrency > 0 && lavenderridge.Slots(n) > e.Limits.Concurrency {
		l.Release(e)
		return retryLater(lavenderridge.ReasonLimit, limitRetryAfter, "the entry has reached its limit of requests in flight")
	}
	if d := g.reserve(e.Limits.Rate, t.Sub(l.start)); d > 0 {
		l.Release(e)
		return retryLater(lavenderridge.ReasonLimit, d, "the entry has reached its rate limit")
	}
	return nil
}

// Release removes a request of the entry e from those in flight.
func (l *EntryLimiter) Release(e *lavenderridge.Entry) {
	l.state(e.ID).inFlight.Add(-1)
	l.inFlight.Add(-1)
}

// classCapacity returns the number of requests in flight up to which a request
// of the class k is admitted, where the capacity is n.
func classCapacity(n lavenderridge.Slots, k lavenderridge.Class) lavenderridge.Slots {
	switch k {
	case lavenderridge.ClassCritical:
		return n
	case lavenderridge.ClassNormal:
		return max(n*4/5, 1)
	default:
		return max(n/2, 1)
	}
}

// state returns the state of the entry d.
func (l *EntryLimiter) state(d lavenderridge.EntryID) *entryState {
	if g, o := l.entries.Load(d); o {
		return g.(*entryState)
	}
	g, _ := l.entries.LoadOrStore(d, &entryState{})
	return g.(*entryState)
}

// reserve admits a request at the time t by the rate r and returns zero, or
// returns the time until one is admitted. The algorithm is a leaky bucket (GCRA)
// that allows bursts of one second's requests.
func (g *entryState) reserve(r lavenderridge.Rate, t time.Duration) time.Duration {
	if r <= 0 {
		return 0
	}
	i := int64(float64(time.Second) / float64(r))
	for {
		a := g.nextArrival.Load()
		n := max(a, int64(t)) + i
		if w := time.Duration(n) - t - max(time.Second, time.Duration(i)); w > 0 {
			return w
		}
		if g.nextArrival.CompareAndSwap(a, n) {
			return 0
		}
	}
}

// retryLater returns a refusal with the reason r and the detail s that advises
// the caller to retry after d.
func retryLater(r lavenderridge.Reason, d time.Duration, s string) error {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, s)
	f.RetryAfter = d
	return f
}
