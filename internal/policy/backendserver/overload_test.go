package backendserver_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// queued is a request that waits for a slot of an overloaded backend server.
type queued struct {
	waiter  *backendserver.Waiter
	arrived time.Time
	arrival backendserver.Arrival
}

// overload counts what the callers of an overloaded backend server get.
type overload struct {
	served, late, refusedAtOnce, refusedLater int
	wasted                                    time.Duration // waits that ended in a refusal
}

// TestWaitersUnderOverload plays a Poisson load of two classes, beyond what the slots
// can run, for 60 s of simulated time. The lower class can wait longer, but requests of
// the higher one are queued ahead of it. Prints what callers get and how long those that
// were refused later have waited for nothing.
func TestWaitersUnderOverload(t *testing.T) {
	datadriven.RunTest(t, "testdata/overload", func(t *testing.T, d *datadriven.TestData) string {
		var load string
		d.ScanArgs(t, "load", &load)
		var x float64
		_, _ = fmt.Sscan(load, &x)
		o := &overload{}
		playOverload(x, func(k *rand.Rand, n time.Time) backendserver.Arrival {
			q := backendserver.Arrival{Class: lavenderridge.ClassNormal, Deadline: n.Add(900 * time.Millisecond), Objective: n.Add(400 * time.Millisecond)}
			if k.IntN(2) == 0 {
				q.Class, q.Deadline = lavenderridge.ClassUrgent, n.Add(500*time.Millisecond)
			}
			return q
		}, func(backendserver.Arrival) *overload { return o })
		return fmt.Sprintf("served %d, late %d, refused at once %d, refused later %d after a mean wait of %s\n",
			o.served, o.late, o.refusedAtOnce, o.refusedLater, (o.wasted / time.Duration(max(1, o.refusedLater))).Round(time.Millisecond))
	})
}

// playOverload plays x times the load that the slots can run. The function draw returns
// the requests, and count where to count what becomes of one.
func playOverload(x float64, draw func(*rand.Rand, time.Time) backendserver.Arrival, count func(backendserver.Arrival) *overload) {
	const slots, work, length = 9, 120 * time.Millisecond, 60 * time.Second
	k := rand.New(rand.NewPCG(3, 4))
	n := time.Unix(0, 0)
	end := n.Add(length)
	l := backendserver.NewLimiter(n, backendserver.WithFixedLimit())
	a := backendserver.NewAdmission(l)
	s := &lavenderridge.Service{Slots: slots, Connections: 130, Queue: 64}
	var waiting []queued
	var running []time.Time // when each request in flight ends
	var begun []time.Duration
	run := func(q backendserver.Arrival) {
		w := time.Duration(float64(work) * (0.5 + k.ExpFloat64()/2))
		running, begun = append(running, n.Add(w)), append(begun, w)
		o := count(q)
		if o.served++; n.Add(w).After(q.Deadline) {
			o.late++
		}
	}
	settle := func() {
		for i := 0; i < len(waiting); i++ {
			q := waiting[i]
			select {
			case <-q.waiter.Decided():
			default:
				continue
			}
			waiting = append(waiting[:i], waiting[i+1:]...)
			i--
			if q.waiter.Err() == nil {
				run(q.arrival)
				continue
			}
			o := count(q.arrival)
			o.refusedLater++
			o.wasted += n.Sub(q.arrived)
		}
	}
	arrival := n
	for n.Before(end) {
		// The next event is an arrival or the end of a run.
		next, j := arrival, -1
		for i, r := range running {
			if r.Before(next) {
				next, j = r, i
			}
		}
		n = next
		if j >= 0 {
			w := begun[j]
			running, begun = append(running[:j], running[j+1:]...), append(begun[:j], begun[j+1:]...)
			l.Succeeded(w, slots, slots, n)
			a.Leave(n)
			settle()
			continue
		}
		arrival = n.Add(time.Duration(k.ExpFloat64() * float64(work) / slots / x))
		q := draw(k, n)
		w, e := a.EnterArrival(s, q, n)
		switch {
		case e != nil:
			count(q).refusedAtOnce++
		case w == nil:
			run(q)
		default:
			waiting = append(waiting, queued{waiter: w, arrived: n, arrival: q})
		}
		settle()
	}
}
