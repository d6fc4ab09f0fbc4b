package caller_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// TestFurtherAttempts compares how many attempts requests make while instances refuse them
// for overload, with golden files. It guards against a fleet in which every request asks
// several instances for room that none has, and against requests that no longer ask for a
// second instance when there is room again.
func TestFurtherAttempts(t *testing.T) {
	b := time.Unix(0, 0)
	datadriven.Walk(t, "testdata/furtherattempts", func(t *testing.T, f string) {
		p := caller.NewRetryPolicy(caller.WithFreeRerouting(), caller.WithJitter(func() float64 { return 0 }))
		c := b
		datadriven.RunTest(t, f, func(t *testing.T, d *datadriven.TestData) string {
			var n, room int
			var gap string
			d.ScanArgs(t, "requests", &n)
			d.ScanArgs(t, "gap", &gap)
			d.MaybeScanArgs(t, "room-at", &room)
			g, e := time.ParseDuration(gap)
			if e != nil {
				t.Fatal(e)
			}
			m, served := 0, 0
			for range n {
				c = c.Add(g)
				a, o := requestAttempts(p, room, c)
				m += a
				if o {
					served++
				}
			}
			return fmt.Sprintf("%.2f attempts a request, %d served\n", float64(m)/float64(n), served)
		})
	})
}

// requestAttempts makes a request at the time t, which finds room at its attempt k or, if k
// is zero, never. It returns the number of attempts and whether it found room.
func requestAttempts(p *caller.RetryPolicy, k int, t time.Time) (int, bool) {
	r := &lavenderridge.Request{ID: "r", Service: "s", Idempotent: true, Deadline: t.Add(time.Second)}
	e := &lavenderridge.Entry{ID: "e", Service: "s"}
	var a caller.Attempts
	for n := 1; ; n++ {
		if n == k {
			if n > 1 {
				p.Rerouted(r.Service, t)
			}
			return n, true
		}
		f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, "full")
		f.Place = "n"
		a.Add("n", f)
		if _, o := p.Next(e, r, &a, f, t); !o {
			return n, false
		}
	}
}

// TestConcurrentFurtherAttempts guards against results of attempts that get lost when
// requests end at the same time, so that attempts go on although none finds room. Run it
// with the race detector.
func TestConcurrentFurtherAttempts(t *testing.T) {
	const callers, requests = 8, 100
	p := caller.NewRetryPolicy(caller.WithFreeRerouting(), caller.WithJitter(func() float64 { return 0 }))
	var g sync.WaitGroup
	var m atomic.Int64
	for range callers {
		g.Go(func() {
			for range requests {
				a, _ := requestAttempts(p, 0, time.Unix(0, 0))
				m.Add(int64(a))
			}
		})
	}
	g.Wait()
	if n := m.Load(); n > 2*callers*requests {
		t.Errorf("%d attempts of %d requests; want at most two each", n, callers*requests)
	}
}
