package backendserver

import (
	"math"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// coldWindow is the time in which the requests to a cold backend server
	// are counted: its rate is that of a second.
	coldWindow = time.Second
	// sameStart is the difference between two starts that count as one.
	sameStart = 300 * time.Millisecond
	// unprovenRetry is the wait that a refusal advises while it is not known
	// whether the backend server is cold.
	unprovenRetry = 100 * time.Millisecond
	// coldRetry is the wait that a refusal advises to a rank for which there is
	// no room.
	coldRetry = 300 * time.Millisecond
	// busyPart is the part of the rate from which on there is little room left.
	busyPart = 0.7
	// lowShare divides the rate into the part that no higher rank can take.
	lowShare = 10
)

// A ColdGate bounds the requests in any second that reach a cold backend
// server. A backend server that may have restarted counts as cold until it has
// told of itself.
type ColdGate struct {
	mutex    sync.Mutex
	until    time.Time
	unproven bool
	// sent and asked hold the requests of the last second that were sent, and
	// those that asked to be.
	sent, asked []coldRequest
	// blocked ends the time of which the requests are not known, because
	// another process sent them.
	blocked time.Time
}

// coldRequest is a request to a cold backend server.
type coldRequest struct {
	time time.Time
	ColdRank
}

// NewColdGate returns a gate before an unproven backend server, to which an
// earlier process may have sent requests up to the time t.
func NewColdGate(t time.Time) *ColdGate {
	return &ColdGate{unproven: true, blocked: t.Add(coldWindow)}
}

// Doubt takes in that the backend server may have restarted. It reports whether
// that is news.
func (g *ColdGate) Doubt() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	o := g.unproven
	g.unproven = true
	return !o
}

// Told takes in that the backend server was said to stay cold for d from t on,
// and that it started at the time b. One that is as young as this process has
// got nothing from the process before.
func (g *ColdGate) Told(d time.Duration, b, t time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.unproven, g.until = false, t.Add(d)
	if b.After(g.blocked.Add(-coldWindow - sameStart)) {
		g.blocked = time.Time{}
	}
}

// Listed takes in that the instance list told at t that the backend server
// stays cold for d. It settles no doubt, for the list lags.
func (g *ColdGate) Listed(d time.Duration, t time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if u := t.Add(d); u.After(g.until) {
		g.until = u
	}
}

// Unproven reports whether the backend server has to tell of itself.
func (g *ColdGate) Unproven() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.unproven
}

// Cold reports whether the backend server counts as cold at the time t.
func (g *ColdGate) Cold(t time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold(t)
}

func (g *ColdGate) cold(t time.Time) bool {
	return g.unproven || t.Before(g.until)
}

// Busy reports whether a cold backend server has little room left at the time t.
func (g *ColdGate) Busy(r lavenderridge.Rate, t time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sent = forget(g.sent, t)
	return r > 0 && g.cold(t) && float64(len(g.sent)) >= busyPart*float64(r)
}

// Wait returns how long a request of the rank k has to wait at the time t, or
// zero. A cold backend server bears the rate r; zero stands for no bound. The
// request counts as asked for, so that lower ranks leave room for its own.
func (g *ColdGate) Wait(r lavenderridge.Rate, k ColdRank, t time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r <= 0 || !g.cold(t) {
		return 0
	}
	g.asked = append(forget(g.asked, t), coldRequest{time: t, ColdRank: k})
	return g.wait(r, k, t)
}

// Enter counts a request of the rank k that is sent at the time t and returns
// zero, or returns the wait as Wait does.
func (g *ColdGate) Enter(r lavenderridge.Rate, k ColdRank, t time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r > 0 && g.cold(t) {
		if d := g.wait(r, k, t); d > 0 {
			return d
		}
	}
	g.sent = append(forget(g.sent, t), coldRequest{time: t, ColdRank: k})
	return 0
}

// wait returns how long a request of the rank k has to wait for its place
// among those of the last second.
func (g *ColdGate) wait(r lavenderridge.Rate, k ColdRank, t time.Time) time.Duration {
	if t.Before(g.blocked) {
		return max(g.blocked.Sub(t), unprovenRetry)
	}
	g.sent, g.asked = forget(g.sent, t), forget(g.asked, t)
	n := max(1, int(math.Floor(float64(r))))
	if len(g.sent) >= n {
		return g.sent[len(g.sent)-n].time.Add(coldWindow).Sub(t)
	}
	l, h := divide(g.sent, k)
	_, d := divide(g.asked, k)
	// What higher ranks ask for is kept for them, but for a small part.
	if l+max(h, min(d, n)) >= n && l >= max(1, n/lowShare) {
		return coldRetry
	}
	return 0
}

// divide counts the requests of a up to the rank k and those above.
func divide(a []coldRequest, k ColdRank) (l, h int) {
	for _, v := range a {
		if v.above(k) {
			h++
		} else {
			l++
		}
	}
	return l, h
}

// forget drops what came before the window that ends at t.
func forget(a []coldRequest, t time.Time) []coldRequest {
	i := 0
	for i < len(a) && t.Sub(a[i].time) >= coldWindow {
		i++
	}
	if i == 0 {
		return a
	}
	return append(a[:0], a[i:]...)
}
