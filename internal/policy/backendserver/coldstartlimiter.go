package backendserver

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// coldWindow is the sliding window over which the requests to a cold
	// backend server are counted. It is one second because the rate is in
	// requests per second.
	coldWindow = time.Second
	// startTolerance is the difference up to which the backend server counts
	// as started together with the daemon.
	startTolerance = 300 * time.Millisecond
	// unconfirmedRetry is the shortest retry delay advised while requests sent
	// by an earlier process may still count against the rate.
	unconfirmedRetry = 100 * time.Millisecond
	// lowPriorityRetry is the retry delay advised when the remaining rate is
	// reserved for higher priorities.
	lowPriorityRetry = 300 * time.Millisecond
	// busyShare is the share of the rate from which a cold backend server
	// counts as busy.
	busyShare = 0.7
	// proofShare is the share of the rate, as requests sent since the latest proof that the
	// backend server is warm, from which on another proof is due.
	proofShare = 0.7
	// lowPriorityDivisor sets the share of the rate, one tenth, that is not
	// reserved for higher priorities.
	lowPriorityDivisor = 10
)

// A ColdStartLimiter limits the number of requests that a cold backend server
// receives in any second. A backend server that may have restarted is
// unconfirmed: it counts as cold until its health endpoint reports for how
// long it stays cold.
//
// A backend server may also turn cold without a restart, and nothing tells that before its
// health endpoint is asked. Therefore no more requests than a cold one takes are sent in
// any second after the latest question that it answered as warm.
type ColdStartLimiter struct {
	mutex       sync.Mutex
	coldUntil   time.Time
	unconfirmed bool
	// warmAt is when the latest question was sent that showed the backend server warm.
	warmAt time.Time
	// admitted holds the requests of the last coldWindow that were sent, and
	// requested those for which Wait was called.
	admitted, requested []coldRequest
	// blockedUntil is when the last requests that an earlier daemon process
	// may have sent leave the window. They were not counted here, so none is
	// admitted before.
	blockedUntil time.Time
}

// coldRequest is a request to a cold backend server, with its time and
// priority.
type coldRequest struct {
	time time.Time
	ColdStartPriority
}

// NewColdStartLimiter returns a limiter for an unconfirmed backend server, to
// which an earlier daemon process may have sent requests up to the time t.
func NewColdStartLimiter(t time.Time) *ColdStartLimiter {
	return &ColdStartLimiter{unconfirmed: true, blockedUntil: t.Add(coldWindow)}
}

// MarkUnconfirmed records that the backend server may have restarted. It
// returns false if the backend server was unconfirmed already.
func (g *ColdStartLimiter) MarkUnconfirmed() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	o := g.unconfirmed
	g.unconfirmed = true
	return !o
}

// HealthReported records a report of the health endpoint, asked at a and received at t: the
// backend server started at b and stays cold for d. If it started no earlier
// than this daemon process, an earlier process cannot have sent it any
// requests, so requests are admitted without waiting for blockedUntil.
func (g *ColdStartLimiter) HealthReported(d time.Duration, b, a, t time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.unconfirmed, g.coldUntil = false, t.Add(d)
	if d == 0 && a.After(g.warmAt) {
		g.warmAt = a
	}
	if b.After(g.blockedUntil.Add(-coldWindow - startTolerance)) {
		g.blockedUntil = time.Time{}
	}
}

// ListReported records that according to the instance list, as of t, the
// backend server stays cold for d. The list lags behind, so it can only extend
// the cold period, and the backend server stays unconfirmed.
func (g *ColdStartLimiter) ListReported(d time.Duration, t time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if u := t.Add(d); u.After(g.coldUntil) {
		g.coldUntil = u
	}
}

// Unconfirmed reports whether the backend server may have restarted and its
// health endpoint has not reported since.
func (g *ColdStartLimiter) Unconfirmed() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.unconfirmed
}

// Cold reports whether the backend server counts as cold at the time t.
func (g *ColdStartLimiter) Cold(t time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold(t)
}

func (g *ColdStartLimiter) cold(t time.Time) bool {
	return g.unconfirmed || t.Before(g.coldUntil)
}

// ProofDue reports whether the health endpoint should be asked at the time t, because a
// backend server with the rate r might have turned cold and soon get too many requests.
func (g *ColdStartLimiter) ProofDue(r lavenderridge.Rate, t time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return r > 0 && !g.cold(t) && float64(g.unproven(t)) >= proofShare*math.Floor(float64(r))
}

// unproven returns the number of requests of the last window that were sent since the
// backend server is known to have been warm.
func (g *ColdStartLimiter) unproven(t time.Time) int {
	g.admitted = dropExpired(g.admitted, t)
	return len(g.admitted) - sort.Search(len(g.admitted), func(i int) bool { return !g.admitted[i].time.Before(g.warmAt) })
}

// Busy reports whether a cold backend server has used up most of its rate r at
// the time t.
func (g *ColdStartLimiter) Busy(r lavenderridge.Rate, t time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.admitted = dropExpired(g.admitted, t)
	return r > 0 && g.cold(t) && float64(len(g.admitted)) >= busyShare*float64(r)
}

// Wait returns how long a request of the priority k has to wait at the time t,
// or zero if it may be sent. The rate r is the limit of a cold backend server;
// zero means no limit. The request is counted, so that part of the rate is
// reserved for it while lower priorities are decided on.
func (g *ColdStartLimiter) Wait(r lavenderridge.Rate, k ColdStartPriority, t time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r <= 0 {
		return 0
	}
	if !g.cold(t) {
		return g.proofWait(r, t)
	}
	g.requested = append(dropExpired(g.requested, t), coldRequest{time: t, ColdStartPriority: k})
	return g.requiredWait(r, k, t)
}

// Enter counts a request of the priority k as sent at the time t and returns
// zero. If it may not be sent yet, Enter returns the wait, as Wait does.
func (g *ColdStartLimiter) Enter(r lavenderridge.Rate, k ColdStartPriority, t time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r > 0 {
		d := g.proofWait(r, t)
		if g.cold(t) {
			d = g.requiredWait(r, k, t)
		}
		if d > 0 {
			return d
		}
	}
	g.admitted = append(dropExpired(g.admitted, t), coldRequest{time: t, ColdStartPriority: k})
	return 0
}

// proofWait returns how long a request to a backend server that counts as warm has to wait
// until it is known to be warm still.
func (g *ColdStartLimiter) proofWait(r lavenderridge.Rate, t time.Time) time.Duration {
	if g.unproven(t) < maxInWindow(r) {
		return 0
	}
	return unconfirmedRetry
}

// maxInWindow returns the number of requests in a window at the rate r.
func maxInWindow(r lavenderridge.Rate) int {
	return max(1, int(math.Floor(float64(r))))
}

// requiredWait returns how long a request of the priority k has to wait, given
// the requests of the last window.
func (g *ColdStartLimiter) requiredWait(r lavenderridge.Rate, k ColdStartPriority, t time.Time) time.Duration {
	if t.Before(g.blockedUntil) {
		return max(g.blockedUntil.Sub(t), unconfirmedRetry)
	}
	g.admitted, g.requested = dropExpired(g.admitted, t), dropExpired(g.requested, t)
	n := maxInWindow(r)
	if len(g.admitted) >= n {
		return g.admitted[len(g.admitted)-n].time.Add(coldWindow).Sub(t)
	}
	l, h := countByPriority(g.admitted, k)
	_, d := countByPriority(g.requested, k)
	// The rate that higher priorities have requested is reserved for them,
	// except for a small share that lower ones can always use.
	if l+max(h, min(d, n)) >= n && l >= max(1, n/lowPriorityDivisor) {
		return lowPriorityRetry
	}
	return 0
}

// countByPriority returns the number of requests in a up to the priority k and
// the number above it.
func countByPriority(a []coldRequest, k ColdStartPriority) (l, h int) {
	for _, v := range a {
		if v.above(k) {
			h++
		} else {
			l++
		}
	}
	return l, h
}

// dropExpired removes the requests that are no longer in the window that ends
// at t.
func dropExpired(a []coldRequest, t time.Time) []coldRequest {
	i := 0
	for i < len(a) && t.Sub(a[i].time) >= coldWindow {
		i++
	}
	if i == 0 {
		return a
	}
	return append(a[:0], a[i:]...)
}
