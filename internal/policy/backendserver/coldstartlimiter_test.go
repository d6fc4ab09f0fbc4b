package backendserver_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// checkLastSecond fails the test t if more than m of the requests sent are of the second
// before n.
func checkLastSecond(t *rapid.T, sent []time.Time, n time.Time, m int) {
	c := 0
	for _, s := range sent {
		if n.Sub(s) < time.Second {
			c++
		}
	}
	if c > m {
		t.Fatalf("%d requests within one second; want at most %d", c, m)
	}
}

// TestColdStartLimiter compares the limiter with a plain list: a cold backend
// server gets no more than its rate in any second, also if the daemon
// restarts.
func TestColdStartLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 7
		n := time.Unix(1000, 0)
		g := backendserver.NewColdStartLimiter(n)
		var sent []time.Time
		warm := false
		refused := time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				k := backendserver.ColdStartPriority{
					Class:     lavenderridge.Class(rapid.IntRange(1, 4).Draw(t, "class")),
					Objective: time.Duration(rapid.IntRange(1, 3).Draw(t, "objective")) * time.Second,
				}
				if g.Wait(rate, k, n) > 0 || g.Enter(rate, k, n) > 0 {
					if refused.IsZero() {
						refused = n
					}
					return
				}
				refused = time.Time{}
				if !warm {
					sent = append(sent, n)
				}
			},
			"time": func(t *rapid.T) {
				n = n.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"report": func(t *rapid.T) {
				c := time.Duration(rapid.IntRange(0, 2).Draw(t, "cold")) * 500 * time.Millisecond
				g.HealthReported(c, time.Time{}, n, n)
				warm = c == 0
			},
			"backendRestart": func(*rapid.T) {
				g.MarkUnconfirmed()
				warm = false
				sent = nil // requests before the restart do not count
			},
			"daemonRestart": func(*rapid.T) {
				g = backendserver.NewColdStartLimiter(n)
				warm = false
			},
			"": func(t *rapid.T) {
				if !g.Cold(n) {
					warm = true
				}
				checkLastSecond(t, sent, n, rate)
			},
		})
	})
}

// TestColdStartLimiterPriorities checks that requests of a higher priority are
// admitted although those of lower ones arrive first, and that the lowest
// priority is not starved.
func TestColdStartLimiterPriorities(t *testing.T) {
	const rate = 20
	n := time.Unix(1000, 0)
	g := backendserver.NewColdStartLimiter(n.Add(-time.Minute))
	low := backendserver.ColdStartPriority{Class: lavenderridge.ClassNormal, Objective: time.Second}
	high := backendserver.ColdStartPriority{Class: lavenderridge.ClassUrgent, Objective: time.Second}
	short := backendserver.ColdStartPriority{Class: lavenderridge.ClassUrgent, Objective: time.Second / 4}
	c := map[backendserver.ColdStartPriority]int{}
	// Requests arrive at twice the rate, and one in four has the highest priority.
	for i := range 160 {
		n = n.Add(25 * time.Millisecond)
		k := []backendserver.ColdStartPriority{low, short, low, high}[i%4]
		if g.Wait(rate, k, n) == 0 && g.Enter(rate, k, n) == 0 {
			c[k]++
		}
	}
	if c[high] < 35 {
		t.Errorf("%d of 40 requests of the highest priority were admitted; want at least 35", c[high])
	}
	if c[short] <= c[low] || c[low] == 0 {
		t.Errorf("%d requests of the middle priority and %d of the lowest were admitted; want more of the middle, and some of the lowest", c[short], c[low])
	}
}

// TestColdStartLimiterSameStart checks that a backend server that started
// together with the daemon gets requests immediately, and that one that
// started earlier does not.
func TestColdStartLimiterSameStart(t *testing.T) {
	n := time.Unix(1000, 0)
	k := backendserver.ColdStartPriority{Class: lavenderridge.ClassNormal}
	for b, w := range map[time.Duration]bool{-100 * time.Millisecond: true, -2 * time.Second: false} {
		g := backendserver.NewColdStartLimiter(n)
		g.HealthReported(2*time.Second, n.Add(b), n, n)
		if o := g.Enter(5, k, n.Add(50*time.Millisecond)) == 0; o != w {
			t.Errorf("started %s before the daemon: admitted %t; want %t", -b, o, w)
		}
	}
}

// TestSilentCold guards against a backend server that turns cold without a restart and gets
// the full rate until it says so: it gets no more than its rate in any second, however late
// the answers of its health endpoint are.
func TestSilentCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 7
		n := time.Unix(1000, 0)
		g := backendserver.NewColdStartLimiter(n.Add(-time.Minute))
		g.HealthReported(0, time.Time{}, n, n)
		k := backendserver.ColdStartPriority{Class: lavenderridge.ClassNormal}
		var cold, asked, answered time.Time // cold ends at that time
		var sent []time.Time                // while the backend server is cold
		var left time.Duration              // the answer
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				if g.Wait(rate, k, n) == 0 && g.Enter(rate, k, n) == 0 && n.Before(cold) {
					sent = append(sent, n)
				}
			},
			"time": func(t *rapid.T) { n = n.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond) },
			"turnCold": func(*rapid.T) {
				cold, sent = n.Add(3*time.Second), nil
			},
			"ask": func(*rapid.T) {
				if g.ProofDue(rate, n) && asked.IsZero() {
					asked = n
				}
			},
			"respond": func(*rapid.T) {
				if !asked.IsZero() && answered.IsZero() {
					answered, left = n, max(cold.Sub(n), 0)
				}
			},
			"receive": func(*rapid.T) {
				if !answered.IsZero() {
					g.HealthReported(max(left-n.Sub(answered), 0), time.Time{}, asked, n)
					asked, answered = time.Time{}, time.Time{}
				}
			},
			"": func(t *rapid.T) {
				checkLastSecond(t, sent, n, rate)
			},
		})
	})
}

// TestWarmRate guards against a limiter that slows down a backend server which shows that
// it is warm.
func TestWarmRate(t *testing.T) {
	const rate = 24
	n := time.Unix(1000, 0)
	g := backendserver.NewColdStartLimiter(n.Add(-time.Minute))
	g.HealthReported(0, time.Time{}, n, n)
	var due time.Time
	checks := 0
	for i := range 700 { // 70 a second
		n = n.Add(time.Second / 70)
		k := backendserver.ColdStartPriority{Class: lavenderridge.Class(1 + i%4)}
		if g.Wait(rate, k, n) > 0 || g.Enter(rate, k, n) > 0 {
			t.Fatalf("request %d is refused", i)
		}
		if due.IsZero() && g.ProofDue(rate, n) {
			due = n
		}
		if !due.IsZero() && n.Sub(due) >= 80*time.Millisecond {
			g.HealthReported(0, time.Time{}, due, n)
			due = time.Time{}
			checks++
		}
	}
	if checks > 50 {
		t.Errorf("%d health checks in 10 s; want at most 50", checks)
	}
}
