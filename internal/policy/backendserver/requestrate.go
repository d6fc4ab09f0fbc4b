package backendserver

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// minRequestRate is the lowest rate in requests per second. A backend server with
	// a lower limit still gets requests, because only a response can end the limit.
	minRequestRate = 0.5
	// maxRequestRate is the rate above which a limit has no effect.
	maxRequestRate = 1e6
	// The number of requests that may be sent at once after a pause is minBurst plus
	// those of burstTime, at most maxBurst.
	minBurst  = 2
	maxBurst  = 3
	burstTime = 250 * time.Millisecond
	// A rate whose limit has ended starts at minReleaseRate at least, doubles each
	// releaseDoubling and ends after releaseTime.
	minReleaseRate  = 5
	releaseDoubling = 300 * time.Millisecond
	releaseTime     = 2 * time.Second
)

// A RequestRate spaces the requests to a backend server by a rate in requests per
// second. Requests of a lower class leave a part of the burst to the higher ones. It
// takes no lock. All times are relative to the same start.
type RequestRate struct {
	limit float64
	// releasedAt is when the limit ended, or negative while it is in force.
	releasedAt time.Duration
	// full is the time at which the whole burst is available again.
	full atomic.Int64
}

// newRequestRate returns the rate l from the time t on, at which n requests of the burst
// are available.
func newRequestRate(l lavenderridge.Rate, n float64, t time.Duration) *RequestRate {
	r := &RequestRate{limit: min(max(float64(l), minRequestRate), maxRequestRate), releasedAt: -1}
	r.setAvailable(n, t)
	return r
}

// released returns the rate after the limit has ended at t.
func (r *RequestRate) released(t time.Duration) *RequestRate {
	v := &RequestRate{limit: r.limit, releasedAt: t}
	v.setAvailable(r.available(t), t)
	return v
}

// setAvailable sets how many requests of the burst are available at t.
func (r *RequestRate) setAvailable(n float64, t time.Duration) {
	p := r.perSecond(t)
	r.full.Store(int64(t + scale(max(0, burst(p)-n), p)))
}

// available returns how many requests of the burst are available at t.
func (r *RequestRate) available(t time.Duration) float64 {
	p := r.perSecond(t)
	return burst(p) - max(0, (time.Duration(r.full.Load())-t).Seconds()*p)
}

// perSecond returns the rate at t.
func (r *RequestRate) perSecond(t time.Duration) float64 {
	if r.releasedAt < 0 {
		return r.limit
	}
	return max(r.limit, minReleaseRate) * math.Exp2(float64(t-r.releasedAt)/float64(releaseDoubling))
}

// unlimited reports whether the rate no longer applies at t.
func (r *RequestRate) unlimited(t time.Duration) bool {
	return r == nil || r.limit >= maxRequestRate || r.releasedAt >= 0 && t-r.releasedAt >= releaseTime
}

// burst returns the number of requests that may be sent at once at the rate p.
func burst(p float64) float64 {
	return min(minBurst+p*burstTime.Seconds(), maxBurst)
}

// scale returns the time in which n requests are sent at the rate p.
func scale(n, p float64) time.Duration {
	return time.Duration(n / p * float64(time.Second))
}

// Wait returns how long a request of the class k has to wait at t, or zero if it may be
// sent.
func (r *RequestRate) Wait(k lavenderridge.Class, t time.Duration) time.Duration {
	if r.unlimited(t) {
		return 0
	}
	_, w := r.next(r.full.Load(), k, t)
	return w
}

// Take counts a request of the class k that is sent at t and returns zero. If it may not
// be sent yet, Take returns the wait.
func (r *RequestRate) Take(k lavenderridge.Class, t time.Duration) time.Duration {
	if r.unlimited(t) {
		return 0
	}
	for {
		v := r.full.Load()
		n, w := r.next(v, k, t)
		if w > 0 || r.full.CompareAndSwap(v, n) {
			return w
		}
	}
}

// next returns the value of full after a request of the class k at t, where v is its
// value before, and how long the request has to wait.
func (r *RequestRate) next(v int64, k lavenderridge.Class, t time.Duration) (int64, time.Duration) {
	p := r.perSecond(t)
	b := burst(p)
	n := max(time.Duration(v), t) + scale(1, p)
	w := n + scale(reserve(k, b), p) - t - scale(b, p)
	return int64(n), max(0, w)
}

// reserve returns the part of the burst b that requests of the class k leave to higher
// classes.
func reserve(k lavenderridge.Class, b float64) float64 {
	l := float64(lavenderridge.ClassCritical) - float64(min(max(k, lavenderridge.ClassBackground), lavenderridge.ClassCritical))
	return (b - 1) * l / float64(lavenderridge.ClassCritical)
}
