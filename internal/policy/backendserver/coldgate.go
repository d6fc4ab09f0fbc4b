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
	// unprovenRetry is the wait that a refusal advises while it is not known
	// whether the backend server is cold.
	unprovenRetry = 100 * time.Millisecond
)

// A ColdGate bounds the requests in any second that reach a cold backend
// server. A backend server that may have restarted counts as cold until it has
// told of itself.
type ColdGate struct {
	mutex    sync.Mutex
	until    time.Time
	unproven bool
	sent     []time.Time
	// blocked ends the time of which the requests are not known, because
	// another process sent them.
	blocked time.Time
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

// Told takes in that the backend server was said to stay cold for d from t on.
func (g *ColdGate) Told(d time.Duration, t time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.unproven, g.until = false, t.Add(d)
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

// Enter counts a request at the time t and returns zero, or returns the wait
// until a cold backend server bears it. A cold one bears the rate r; zero
// stands for no bound.
func (g *ColdGate) Enter(r lavenderridge.Rate, t time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forget(t)
	if r <= 0 || !g.cold(t) {
		g.sent = append(g.sent, t)
		return 0
	}
	if t.Before(g.blocked) {
		return max(g.blocked.Sub(t), unprovenRetry)
	}
	n := max(1, int(math.Floor(float64(r))))
	if len(g.sent) < n {
		g.sent = append(g.sent, t)
		return 0
	}
	return g.sent[len(g.sent)-n].Add(coldWindow).Sub(t)
}

// forget drops what was sent before the window that ends at t.
func (g *ColdGate) forget(t time.Time) {
	i := 0
	for i < len(g.sent) && t.Sub(g.sent[i]) > coldWindow {
		i++
	}
	if i > 0 {
		g.sent = append(g.sent[:0], g.sent[i:]...)
	}
}
