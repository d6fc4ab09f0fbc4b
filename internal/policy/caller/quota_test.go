package caller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
)

const (
	quotaWarmUp = 6 * time.Second
	quotaRun    = 20 * time.Second
	// offline is how long a process is dead, frozen or cut off.
	offline = 4 * time.Second
	// goneAfter is when the instance list leaves out an instance that ended.
	goneAfter = 3 * time.Second
)

// TestQuotas plays fleets in simulated time. It guards against a customer's requests
// exceeding its quota at all daemons together, in any window, whatever fails, and
// against refusals below the quota. The daemons start 6 s before the load does.
func TestQuotas(t *testing.T) {
	datadriven.Walk(t, "testdata/quota", func(t *testing.T, p string) {
		datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string {
			n, m, x, uneven, y, seeds, hot := 65, 74, 27, 0, 160, 3, 0
			goal := 5
			failure, design := "none", ""
			d.MaybeScanArgs(t, "daemons", &n)
			d.MaybeScanArgs(t, "customers", &m)
			d.MaybeScanArgs(t, "rate", &x)
			d.MaybeScanArgs(t, "uneven", &uneven)
			d.MaybeScanArgs(t, "quota", &y)
			d.MaybeScanArgs(t, "seeds", &seeds)
			d.MaybeScanArgs(t, "hot", &hot)
			d.MaybeScanArgs(t, "failure", &failure)
			d.MaybeScanArgs(t, "goal", &goal)
			d.MaybeScanArgs(t, "design", &design)
			var b strings.Builder
			for s := range seeds {
				w := newQuotaWorld(uint64(s+1), n, m, float64(x), float64(y)/100)
				w.design = design
				from := w.start.Add(quotaWarmUp)
				for i, c := range w.customers {
					f := 1.0
					if i < hot {
						f = 10
					}
					v := w.weights(float64(uneven) / 100)
					c.weights = v
					w.at(from, func() {
						c.at, c.ideal = w.now, float64(c.quota.Burst)
						w.send(c, v, f, w.start.Add(quotaRun))
					})
				}
				w.at(from.Add(3*time.Second), func() { quotaFailures[failure](w) })
				w.run(quotaRun)
				h, l := w.worst(from), w.lost()
				r := quotaRun - quotaWarmUp
				c := float64(w.calls) / r.Seconds() / float64(n)
				q := float64(w.calls*callBytes+w.wants*wantBytes) / r.Seconds() / float64(n)
				t.Logf("%s: seed %d: fullest window %.0f%% of its bound; lost %.2f%%; %.1f calls/s, %.0f B/s a daemon",
					d.Pos, s+1, 100*h, 100*l, c, q)
				if h > 1 {
					fmt.Fprintf(&b, "seed %d: bound exceeded\n", s+1)
				}
				if l > float64(goal)/100 {
					fmt.Fprintf(&b, "seed %d: more than %d in 100 lost\n", s+1, goal)
				}
			}
			if b.Len() == 0 {
				return "kept\n"
			}
			return b.String()
		})
	})
}

// quotaFailures are what may happen 3 s after the load has begun.
var quotaFailures = map[string]func(w *quotaWorld){
	"none": func(*quotaWorld) {},
	// alone: every daemon is cut off from every other.
	"alone": func(w *quotaWorld) {
		w.cut = func(*quotaDaemon, *quotaDaemon) bool { return true }
		for _, d := range w.daemons {
			d.cutSince = w.now
		}
	},
	// die: a sixth ends and is left out of the list later.
	"die": func(w *quotaWorld) {
		for _, d := range w.every(6) {
			d.down = true
			d.life++
		}
		w.after(goneAfter, func() { w.relist(func(d *quotaDaemon) bool { return !d.down }) })
	},
	// freeze: a sixth stands still, is left out of the list and wakes.
	"freeze": func(w *quotaWorld) { w.freeze(0) },
	// suspend: the same, and their clocks stand still as well. The readiness gate, which
	// would see a pause, is left out.
	"suspend": func(w *quotaWorld) { w.freeze(offline) },
	// restart: half of the daemons restart at the same moment.
	"restart": func(w *quotaWorld) { w.restart(w.every(2), time.Second) },
	// restartall: all daemons do.
	"restartall": func(w *quotaWorld) { w.restart(w.daemons, time.Second) },
	// oneway: an eighth gets no message, but its own arrive.
	"oneway": func(w *quotaWorld) {
		m := map[*quotaDaemon]bool{}
		for _, d := range w.every(8) {
			m[d] = true
		}
		w.cut = func(_, b *quotaDaemon) bool { return m[b] }
		for d := range m {
			d.cutSince = w.now
		}
		w.after(offline, func() {
			w.cut = func(*quotaDaemon, *quotaDaemon) bool { return false }
			for _, d := range w.every(8) {
				d.cutSince = time.Time{}
			}
		})
	},
	// island: a third is cut off from the rest, which the list then leaves out.
	"island": func(w *quotaWorld) { w.island(goneAfter) },
	// islandsoon: the list leaves them out at once.
	"islandsoon": func(w *quotaWorld) { w.island(0) },
	// join: a sixth is not listed at first and joins.
	"join": func(w *quotaWorld) {
		a := w.every(6)
		m := map[*quotaDaemon]bool{}
		for _, d := range a {
			m[d] = true
		}
		w.relist(func(d *quotaDaemon) bool { return !m[d] })
		w.after(2*w.bounds.Window, func() { w.relist(func(*quotaDaemon) bool { return true }) })
	},
	// lower: the quotas fall to a quarter; the bound is that of the new quota from one
	// window after the last daemon knows it.
	"lower": func(w *quotaWorld) {
		for _, c := range w.customers {
			c.quota = lavenderridge.Quota{Rate: c.quota.Rate / 4, Burst: c.quota.Burst / 4}
		}
		w.publish()
		w.spread()
		w.after(listLag+w.bounds.Window, func() {
			for _, c := range w.customers {
				c.ran, c.owed = nil, 0
			}
		})
	},
	// refused: a third of what is admitted is refused for another reason.
	"refused": func(w *quotaWorld) { w.failing = 0.3 },
}

// every returns each n-th daemon.
func (w *quotaWorld) every(n int) []*quotaDaemon {
	var a []*quotaDaemon
	for i, d := range w.daemons {
		if i%n == 0 {
			a = append(a, d)
		}
	}
	return a
}

// island cuts a third of the daemons off from the rest, which the list leaves out after
// the time t.
func (w *quotaWorld) island(t time.Duration) {
	m := map[*quotaDaemon]bool{}
	for _, d := range w.every(3) {
		m[d] = true
		d.cutSince = w.now
	}
	w.cut = func(a, b *quotaDaemon) bool { return m[a] != m[b] }
	w.after(t, func() { w.relist(func(d *quotaDaemon) bool { return !m[d] }) })
}

// freeze stops a sixth of the daemons for a time, of which their clocks lose d.
func (w *quotaWorld) freeze(d time.Duration) {
	a := w.every(6)
	for _, n := range a {
		n.frozen = true
	}
	w.after(goneAfter, func() { w.relist(func(d *quotaDaemon) bool { return !d.frozen }) })
	w.after(offline, func() {
		for _, n := range a {
			n.frozen = false
			n.lost += d
			p := n.mail
			n.mail = nil
			for _, f := range p {
				f()
			}
		}
		w.after(time.Second, func() { w.relist(func(*quotaDaemon) bool { return true }) })
	})
}

// restart ends the daemons a, which start again after the time t.
func (w *quotaWorld) restart(a []*quotaDaemon, t time.Duration) {
	for _, d := range a {
		d.down = true
		d.life++
	}
	w.after(t, func() {
		for _, d := range a {
			d.boot()
		}
	})
}
