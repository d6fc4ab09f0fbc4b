package backendserver

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	milliSlots = 1000
	// rampStep is the shortest time between two raises of a ramp.
	rampStep = 400 * time.Millisecond
	// ceilingHold is how long a ramp stays below the limit at which the one
	// before it failed. Each further failure doubles it.
	ceilingHold = 3 * time.Second
	maxSetbacks = 3
	// cutInterval is the shortest time between two reductions.
	cutInterval = 100 * time.Millisecond
	// cutHold is how long the limit rises slowly after a reduction.
	cutHold = 5 * time.Second
	// bootInterval is the shortest time between a restart of the ramp and one
	// that only a boot mark asks for.
	bootInterval = 10 * time.Second
	// coldTime is how long after the beginning of a ramp errors are taken for
	// those of a cold backend server.
	coldTime = 10 * time.Second
	// failureBurst is the number of failures in a row that restarts the ramp.
	failureBurst = 5
	// failureMemory is how long a failure can confirm a health hint.
	failureMemory = time.Second

	freshWeight = 8
	usualWeight = 128
	slowWeight  = 4096
	// slowRatio and slowMargin tell a slow backend server: its fresh latency
	// exceeds the usual one by both.
	slowRatio  = 2
	slowMargin = 2 * time.Millisecond
	// slowCut is the percentage of the limit that remains when it slows.
	slowCut = 90
	// slowFloor bounds what latency alone can do: the limit keeps one part in
	// slowFloor of the slots, for slow requests may just be another kind.
	slowFloor = 2
	// halfCut is the percentage that remains when it sheds or times out.
	halfCut = 50
	// hungRatio tells a request that timed out for the backend server's sake
	// from one whose deadline was too short.
	hungRatio = 4
	hungTime  = time.Second
)

// A Limiter says how many requests a backend server may run at once. The limit
// ramps up from one slot after each restart, falls when the backend server
// sheds, times out or slows, and never falls below one slot. All state is
// atomic.
type Limiter struct {
	start time.Time
	fixed bool

	limit    atomic.Int64 // in thousandths of a slot
	ramping  atomic.Bool
	began    atomic.Int64 // when the ramp began, in nanoseconds after start
	raised   atomic.Int64
	cut      atomic.Int64
	answered atomic.Int64 // successes since the last raise
	ceiling  atomic.Int64 // slots, zero for none
	setbacks atomic.Int64 // ramps that failed one after the other

	fresh    atomic.Int64 // nanoseconds, over the last few requests
	usual    atomic.Int64 // nanoseconds, over the last hundreds of requests
	samples  atomic.Int64
	failures atomic.Int64 // in a row
	failedAt atomic.Int64
	boot     atomic.Pointer[string]
}

// NewLimiter returns a limiter at the beginning of a ramp at the time t.
func NewLimiter(t time.Time, o ...LimiterOption) *Limiter {
	l := &Limiter{start: t}
	l.failedAt.Store(-int64(failureMemory))
	for _, f := range o {
		f(l)
	}
	l.begin(0)
	return l
}

func (l *Limiter) begin(n int64) {
	l.limit.Store(milliSlots)
	l.began.Store(n)
	l.raised.Store(n)
	l.answered.Store(0)
	l.failures.Store(0)
	l.ramping.Store(true)
}

// Limit returns the number of requests that may run at once where the
// catalogue allows n.
func (l *Limiter) Limit(n lavenderridge.Slots) lavenderridge.Slots {
	if l.fixed {
		return n
	}
	return max(1, min(n, lavenderridge.Slots(l.limit.Load()/milliSlots)))
}

// Ramping reports whether the limit still ramps up after a restart.
func (l *Limiter) Ramping() bool {
	return l.ramping.Load()
}

// Latency returns how long a request takes now; zero before the first answer.
func (l *Limiter) Latency() time.Duration {
	return time.Duration(l.fresh.Load())
}

// Succeeded tells that a request was answered after d, while u requests were
// in flight and the catalogue allowed n.
func (l *Limiter) Succeeded(d time.Duration, u, n lavenderridge.Slots, t time.Time) {
	l.failures.Store(0)
	s := l.observe(d, 2*u <= n)
	// Requests far below the limit tell nothing of what it bears.
	if 2*u < l.Limit(n) {
		return
	}
	switch {
	case s:
		l.reduce(slowCut, int64(n)*milliSlots/slowFloor, t)
	case l.ramping.Load():
		l.raiseRamp(n, t)
	default:
		l.raise(n, t)
	}
}

// observe adds the latency d and reports whether the backend server is slow.
// The usual latency is learnt while at most half of the slots are in use, as
// the flag w tells. Under more it hardly moves, or it would follow an overload
// upwards little by little.
func (l *Limiter) observe(d time.Duration, w bool) bool {
	n := l.samples.Add(1)
	f := average(&l.fresh, int64(d), min(n, freshWeight))
	k := int64(slowWeight)
	if w {
		k = usualWeight
	}
	u := average(&l.usual, int64(d), min(n, k))
	return n > freshWeight && f > slowRatio*u && f > u+int64(slowMargin)
}

// average moves v towards x by one part in w. A concurrent sample may be lost.
func average(v *atomic.Int64, x, w int64) int64 {
	o := v.Load()
	n := o + (x-o)/w
	v.CompareAndSwap(o, n)
	return n
}

// raiseRamp adds one slot when a whole limit of requests succeeded since the
// last raise and enough time has passed.
func (l *Limiter) raiseRamp(n lavenderridge.Slots, t time.Time) {
	v, r, s := l.limit.Load(), l.raised.Load(), l.since(t)
	if l.answered.Add(1) < v/milliSlots || s-r < int64(rampStep) || l.held(v, s) {
		return
	}
	if !l.raised.CompareAndSwap(r, s) {
		return
	}
	l.answered.Store(0)
	l.limit.CompareAndSwap(v, min(v+milliSlots, int64(n)*milliSlots))
	if v+milliSlots >= int64(n)*milliSlots {
		l.ramping.Store(false)
		l.ceiling.Store(0)
		l.setbacks.Store(0)
	}
}

// held reports whether the limit v may not rise yet, because the ramp before
// failed above it.
func (l *Limiter) held(v, s int64) bool {
	c := l.ceiling.Load()
	h := int64(ceilingHold) << max(0, l.setbacks.Load()-1)
	return c > 0 && v/milliSlots >= c && s-l.began.Load() < h
}

// raise adds one slot in each round of requests, but for a while after a cut
// only one in each step, so as not to return at once to what was too much.
func (l *Limiter) raise(n lavenderridge.Slots, t time.Time) {
	v, m, s := l.limit.Load(), int64(n)*milliSlots, l.since(t)
	if v >= m {
		return
	}
	if c := l.cut.Load(); c == 0 || s-c >= int64(cutHold) {
		l.limit.CompareAndSwap(v, min(v+milliSlots*milliSlots/v, m))
		return
	}
	if r := l.raised.Load(); s-r >= int64(rampStep) && l.raised.CompareAndSwap(r, s) {
		l.limit.CompareAndSwap(v, min(v+milliSlots, m))
	}
}

// Shed tells that the backend server refused a request. It reports whether the
// ramp begins again.
func (l *Limiter) Shed(t time.Time) bool {
	l.reduce(halfCut, milliSlots, t)
	return l.Failed(t)
}

// TimedOut tells that a request's deadline passed after it ran for d. It
// reports whether the ramp begins again.
func (l *Limiter) TimedOut(d time.Duration, t time.Time) bool {
	if d < hungTime && int64(d) < hungRatio*l.usual.Load() {
		return false
	}
	l.reduce(halfCut, milliSlots, t)
	return l.Failed(t)
}

// Erred tells that the backend server answered with an error of its own. Early
// in a ramp that may mean that it is still cold, so the ramp is set back; later
// it tells nothing of the load. It reports whether the ramp begins again.
func (l *Limiter) Erred(t time.Time) bool {
	v := l.limit.Load() / milliSlots
	if l.ramping.Load() && l.since(t)-l.began.Load() < int64(coldTime) && l.reduce(halfCut, milliSlots, t) {
		l.setBack(v)
	}
	return l.Failed(t)
}

// Failed tells that a request failed without an answer or with an error of the
// backend server. It reports whether the ramp begins again.
func (l *Limiter) Failed(t time.Time) bool {
	l.failedAt.Store(l.since(t))
	if l.failures.Add(1) < failureBurst {
		return false
	}
	l.Restart(t)
	return true
}

// Hint tells what the health endpoint says. Since its answers lag and mislead,
// "ready" raises nothing, and "not ready" lowers the limit only shortly after a
// failure. It reports whether a new boot mark makes the ramp begin again.
func (l *Limiter) Hint(h lavenderridge.Health, t time.Time) bool {
	if !h.Ready && l.since(t)-l.failedAt.Load() < int64(failureMemory) {
		l.reduce(halfCut, milliSlots, t)
	}
	return l.marked(h.Boot, t)
}

// marked reports whether the boot mark b is new, and no restart explains it.
func (l *Limiter) marked(b string, t time.Time) bool {
	if b == "" {
		return false
	}
	o := l.boot.Swap(&b)
	if o == nil || *o == b || l.since(t)-l.began.Load() < int64(bootInterval) {
		return false
	}
	l.Restart(t)
	return true
}

// Boot returns the last boot mark, or "".
func (l *Limiter) Boot() string {
	if b := l.boot.Load(); b != nil {
		return *b
	}
	return ""
}

// Crashed tells that the backend server crashed. A ramp that it crashed is not
// taken as far the next time, for a while.
func (l *Limiter) Crashed(t time.Time) {
	l.setBack(l.limit.Load() / milliSlots)
	l.Restart(t)
}

// setBack holds a ramp that failed at the limit v below that for a while.
func (l *Limiter) setBack(v int64) {
	if l.ramping.Load() && v > 1 {
		l.ceiling.Store(v - 1)
		l.setbacks.Store(min(maxSetbacks, l.setbacks.Load()+1))
	}
}

// Restart begins the ramp again.
func (l *Limiter) Restart(t time.Time) {
	l.begin(l.since(t))
}

// reduce lowers the limit to p percent but not below f, at most once in an
// interval.
func (l *Limiter) reduce(p, f int64, t time.Time) bool {
	s, o := l.since(t), l.cut.Load()
	if s-o < max(int64(cutInterval), l.fresh.Load()) || !l.cut.CompareAndSwap(o, s) {
		return false
	}
	v := l.limit.Load()
	l.limit.CompareAndSwap(v, min(v, max(f, milliSlots, v*p/100)))
	l.raised.Store(s)
	l.answered.Store(0)
	return true
}

func (l *Limiter) since(t time.Time) int64 {
	return int64(t.Sub(l.start))
}
