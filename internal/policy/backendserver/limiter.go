package backendserver

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// milliSlots is the number of units of Limiter.limit in one slot, so that
	// the limit can rise by fractions of a slot.
	milliSlots = 1000
	// rampStep is the shortest interval between two raises of the limit during
	// a ramp, and during slowRaisePeriod.
	rampStep = 400 * time.Millisecond
	// ceilingHold is how long after its start a ramp stays below the limit at
	// which a ramp last failed. Each further consecutive failure doubles it.
	ceilingHold = 3 * time.Second
	// maxFailedRamps bounds the failed ramps that are counted, and so the
	// doubling of ceilingHold.
	maxFailedRamps = 3
	// reductionInterval is the shortest interval between two reductions.
	reductionInterval = 100 * time.Millisecond
	// slowRaisePeriod is how long the limit rises slowly after a reduction.
	slowRaisePeriod = 5 * time.Second
	// bootRestartInterval is the shortest interval between a restart of the
	// ramp and one caused only by a changed boot mark.
	bootRestartInterval = 10 * time.Second
	// coldErrorPeriod is how long after the start of a ramp an error response
	// is attributed to a cold backend server.
	coldErrorPeriod = 10 * time.Second
	// failureBurst is the number of consecutive failures that restarts the
	// ramp.
	failureBurst = 5
	// failureMemory is how long after a failure a "not ready" health response
	// reduces the limit.
	failureMemory = time.Second

	// These are the numbers of requests over which latencies are averaged: the
	// recent latency, the baseline latency while at most half of the slots are
	// in use, and the baseline latency otherwise.
	recentWeight       = 8
	baselineWeight     = 128
	busyBaselineWeight = 4096
	// The backend server counts as slow if its recent latency exceeds
	// slowRatio times the baseline and exceeds the baseline by more than
	// slowMargin.
	slowRatio  = 2
	slowMargin = 2 * time.Millisecond
	// slowRemainder is the percentage of the limit that remains after a
	// reduction for slowness.
	slowRemainder = 90
	// slowFloorDivisor bounds reductions for slowness: they leave at least the
	// catalogue's slots divided by it, because slow requests may only be of a
	// different kind.
	slowFloorDivisor = 2
	// overloadRemainder is the percentage of the limit that remains after a
	// refusal, a time-out, an error early in a ramp or a "not ready" shortly
	// after a failure.
	overloadRemainder = 50
	// A time-out is attributed to the backend server if the request ran for at
	// least hungDuration or hungLatencyRatio times the baseline latency.
	// Otherwise its deadline was too short.
	hungLatencyRatio = 4
	hungDuration     = time.Second
)

// A Limiter computes how many requests a backend server may run concurrently.
// The limit ramps up from one slot after each restart (slow start), falls when
// the backend server refuses requests, times out or becomes slow, and never
// falls below one slot. All state is atomic.
type Limiter struct {
	start time.Time
	fixed bool

	limit         atomic.Int64 // in units of 1/milliSlots of a slot
	ramping       atomic.Bool
	rampStart     atomic.Int64 // nanoseconds after start, like the next two
	lastRaise     atomic.Int64
	lastReduction atomic.Int64
	successes     atomic.Int64 // since the last raise of a ramp or the last reduction
	rampCeiling   atomic.Int64 // limit at which the last ramp failed less one slot; zero for none
	failedRamps   atomic.Int64 // consecutive failed ramps

	recentLatency       atomic.Int64 // nanoseconds, averaged over recentWeight requests
	baselineLatency     atomic.Int64 // nanoseconds, averaged over baselineWeight or busyBaselineWeight requests
	samples             atomic.Int64
	consecutiveFailures atomic.Int64
	lastFailure         atomic.Int64 // nanoseconds after start
	boot                atomic.Pointer[string]
}

// NewLimiter returns a limiter that starts a ramp at the time t.
func NewLimiter(t time.Time, o ...LimiterOption) *Limiter {
	l := &Limiter{start: t}
	l.lastFailure.Store(-int64(failureMemory))
	for _, f := range o {
		f(l)
	}
	l.beginRamp(0)
	return l
}

func (l *Limiter) beginRamp(n int64) {
	l.limit.Store(milliSlots)
	l.rampStart.Store(n)
	l.lastRaise.Store(n)
	l.successes.Store(0)
	l.consecutiveFailures.Store(0)
	l.ramping.Store(true)
}

// Limit returns the number of requests that may run concurrently if the
// catalogue allows n.
func (l *Limiter) Limit(n lavenderridge.Slots) lavenderridge.Slots {
	if l.fixed {
		return n
	}
	return max(1, min(n, lavenderridge.Slots(l.limit.Load()/milliSlots)))
}

// Ramping reports whether the limit is still ramping up after a restart.
func (l *Limiter) Ramping() bool {
	return l.ramping.Load()
}

// Latency returns the moving average of the latency of recent requests, or
// zero before the first response.
func (l *Limiter) Latency() time.Duration {
	return time.Duration(l.recentLatency.Load())
}

// Succeeded records a response after the latency d, while u requests were in
// flight and the catalogue allowed n.
func (l *Limiter) Succeeded(d time.Duration, u, n lavenderridge.Slots, t time.Time) {
	l.consecutiveFailures.Store(0)
	s := l.observeLatency(d, 2*u <= n)
	// With less than half of the limit in use, success does not show that the
	// limit can be higher.
	if 2*u < l.Limit(n) {
		return
	}
	switch {
	case s:
		l.reduce(slowRemainder, int64(n)*milliSlots/slowFloorDivisor, t)
	case l.ramping.Load():
		l.raiseRamp(n, t)
	default:
		l.raise(n, t)
	}
}

// observeLatency adds the latency d to the averages and reports whether the
// backend server is slow. The flag w is set if at most half of the slots are
// in use. Otherwise the baseline adapts only very slowly, or it would
// gradually rise with an overload and hide it.
func (l *Limiter) observeLatency(d time.Duration, w bool) bool {
	n := l.samples.Add(1)
	f := updateAverage(&l.recentLatency, int64(d), min(n, recentWeight))
	k := int64(busyBaselineWeight)
	if w {
		k = baselineWeight
	}
	u := updateAverage(&l.baselineLatency, int64(d), min(n, k))
	return n > recentWeight && f > slowRatio*u && f > u+int64(slowMargin)
}

// updateAverage moves the average v towards x by 1/w of the difference and
// returns it. A concurrent sample may be lost.
func updateAverage(v *atomic.Int64, x, w int64) int64 {
	o := v.Load()
	n := o + (x-o)/w
	v.CompareAndSwap(o, n)
	return n
}

// raiseRamp adds one slot if, since the last raise, as many requests succeeded
// as the limit allows and rampStep has passed. The ramp ends when the limit
// reaches n.
func (l *Limiter) raiseRamp(n lavenderridge.Slots, t time.Time) {
	v, r, s := l.limit.Load(), l.lastRaise.Load(), l.sinceStart(t)
	if l.successes.Add(1) < v/milliSlots || s-r < int64(rampStep) || l.rampHeld(v, s) {
		return
	}
	if !l.lastRaise.CompareAndSwap(r, s) {
		return
	}
	l.successes.Store(0)
	l.limit.CompareAndSwap(v, min(v+milliSlots, int64(n)*milliSlots))
	if v+milliSlots >= int64(n)*milliSlots {
		l.ramping.Store(false)
		l.rampCeiling.Store(0)
		l.failedRamps.Store(0)
	}
}

// rampHeld reports whether the limit v may not rise yet at s, because a ramp
// failed at the next higher limit.
func (l *Limiter) rampHeld(v, s int64) bool {
	c := l.rampCeiling.Load()
	h := int64(ceilingHold) << max(0, l.failedRamps.Load()-1)
	return c > 0 && v/milliSlots >= c && s-l.rampStart.Load() < h
}

// raise adds one slot for every limit's worth of successes. During
// slowRaisePeriod after a reduction it adds only one slot in each rampStep, so
// that the limit does not return immediately to the load that caused the
// reduction.
func (l *Limiter) raise(n lavenderridge.Slots, t time.Time) {
	v, m, s := l.limit.Load(), int64(n)*milliSlots, l.sinceStart(t)
	if v >= m {
		return
	}
	if c := l.lastReduction.Load(); c == 0 || s-c >= int64(slowRaisePeriod) {
		l.limit.CompareAndSwap(v, min(v+milliSlots*milliSlots/v, m))
		return
	}
	if r := l.lastRaise.Load(); s-r >= int64(rampStep) && l.lastRaise.CompareAndSwap(r, s) {
		l.limit.CompareAndSwap(v, min(v+milliSlots, m))
	}
}

// Shed records that the backend server shed a request: it refused it because
// of its load. Shed reports whether the ramp was restarted.
func (l *Limiter) Shed(t time.Time) bool {
	l.reduce(overloadRemainder, milliSlots, t)
	return l.Failed(t)
}

// TimedOut records that the deadline of a request passed after it ran for d.
// It reports whether the ramp was restarted.
func (l *Limiter) TimedOut(d time.Duration, t time.Time) bool {
	if d < hungDuration && int64(d) < hungLatencyRatio*l.baselineLatency.Load() {
		return false
	}
	l.reduce(overloadRemainder, milliSlots, t)
	return l.Failed(t)
}

// Erred records that the backend server responded with a server error. Early
// in a ramp, the backend server may still be cold, so the limit is reduced, and
// this ramp and the next one are held for a while below the limit at which the
// error came. Later, an error says nothing about the load. Erred reports whether
// the ramp was restarted.
func (l *Limiter) Erred(t time.Time) bool {
	v := l.limit.Load() / milliSlots
	if l.ramping.Load() && l.sinceStart(t)-l.rampStart.Load() < int64(coldErrorPeriod) && l.reduce(overloadRemainder, milliSlots, t) {
		l.limitNextRamp(v)
	}
	return l.Failed(t)
}

// Failed records a request that got no response or a server error. It reports
// whether the ramp was restarted.
func (l *Limiter) Failed(t time.Time) bool {
	l.lastFailure.Store(l.sinceStart(t))
	if l.consecutiveFailures.Add(1) < failureBurst {
		return false
	}
	l.Restart(t)
	return true
}

// HealthReported records a response of the health endpoint. Such responses lag
// and can be wrong, so "ready" never raises the limit, and "not ready" lowers
// it only shortly after a failure. It reports whether a changed boot mark
// restarted the ramp.
func (l *Limiter) HealthReported(h lavenderridge.Health, t time.Time) bool {
	if !h.Ready && l.sinceStart(t)-l.lastFailure.Load() < int64(failureMemory) {
		l.reduce(overloadRemainder, milliSlots, t)
	}
	return l.bootChanged(h.Boot, t)
}

// bootChanged stores the boot mark b. If it has changed and no recent restart
// of the ramp explains that, bootChanged restarts the ramp and returns true.
func (l *Limiter) bootChanged(b string, t time.Time) bool {
	if b == "" {
		return false
	}
	o := l.boot.Swap(&b)
	if o == nil || *o == b || l.sinceStart(t)-l.rampStart.Load() < int64(bootRestartInterval) {
		return false
	}
	l.Restart(t)
	return true
}

// Boot returns the last boot mark that the health endpoint reported, or "".
func (l *Limiter) Boot() string {
	if b := l.boot.Load(); b != nil {
		return *b
	}
	return ""
}

// Crashed records that the backend server crashed, and restarts the ramp. If
// it crashed during a ramp, the next one is held below the limit of the crash
// for a while.
func (l *Limiter) Crashed(t time.Time) {
	l.limitNextRamp(l.limit.Load() / milliSlots)
	l.Restart(t)
}

// limitNextRamp holds ramps below the limit v, at which one failed, for a
// while.
func (l *Limiter) limitNextRamp(v int64) {
	if l.ramping.Load() && v > 1 {
		l.rampCeiling.Store(v - 1)
		l.failedRamps.Store(min(maxFailedRamps, l.failedRamps.Load()+1))
	}
}

// Restart restarts the ramp at one slot.
func (l *Limiter) Restart(t time.Time) {
	l.beginRamp(l.sinceStart(t))
}

// reduce lowers the limit to p percent, but not below f, and reports whether
// it did. It does so at most once in reductionInterval, or in the recent
// latency if that is longer.
func (l *Limiter) reduce(p, f int64, t time.Time) bool {
	s, o := l.sinceStart(t), l.lastReduction.Load()
	if s-o < max(int64(reductionInterval), l.recentLatency.Load()) || !l.lastReduction.CompareAndSwap(o, s) {
		return false
	}
	v := l.limit.Load()
	l.limit.CompareAndSwap(v, min(v, max(f, milliSlots, v*p/100)))
	l.lastRaise.Store(s)
	l.successes.Store(0)
	return true
}

// sinceStart returns t in nanoseconds after the creation of the limiter.
func (l *Limiter) sinceStart(t time.Time) int64 {
	return int64(t.Sub(l.start))
}
