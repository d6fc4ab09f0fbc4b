package backendserver_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// TestWaitBoundUnderLoad plays a Poisson load at one backend server for 60 s of simulated
// time, with waits up to the last moment at which a request usually ends in time, and with
// WaitBound. It guards against a standing queue, in which each request waits so long that
// it ends late although the slots run as many as without the wait.
func TestWaitBoundUnderLoad(t *testing.T) {
	datadriven.RunTest(t, "testdata/waitbound", func(t *testing.T, d *datadriven.TestData) string {
		var load string
		d.ScanArgs(t, "load", &load)
		var x float64
		_, _ = fmt.Sscan(load, &x)
		return "usual bound: " + playWaits(x, false).String() + "\nWaitBound:   " + playWaits(x, true).String() + "\n"
	})
}

// waits counts what the callers of the simulated backend server get.
type waits struct {
	arrived, inTime, late, refused int
	held                           time.Duration // until refusals
}

func (w waits) String() string {
	return fmt.Sprintf("of %d in time %d, late %d, refused %d after a mean of %s",
		w.arrived, w.inTime, w.late, w.refused, (w.held / time.Duration(max(1, w.refused))).Round(time.Millisecond))
}

// arrival is a request in the simulation.
type arrival struct {
	time, ends time.Time
	waiter     *backendserver.Waiter
	run        time.Duration
}

const (
	waitSlots     = 6
	waitWork      = 170 * time.Millisecond
	waitObjective = 500 * time.Millisecond
	waitLength    = time.Minute
)

// playWaits plays x times the load that the slots can run, with WaitBound if b is set.
func playWaits(x float64, b bool) waits {
	k, z := rand.New(rand.NewPCG(5, 6)), rand.New(rand.NewPCG(7, 8))
	n := time.Unix(0, 0)
	end, next := n.Add(waitLength), n
	l := backendserver.NewLimiter(n, backendserver.WithFixedLimit())
	a := backendserver.NewAdmission(l)
	v := &lavenderridge.Service{Slots: waitSlots, Connections: 130, Queue: 64}
	w := backendserver.NewWaitBound(n)
	var r waits
	var waiting, running []*arrival
	start := func(q *arrival) {
		q.run = time.Duration(float64(waitWork) * (0.5 + z.ExpFloat64()/2))
		q.ends = n.Add(q.run)
		running = append(running, q)
		if q.ends.Sub(q.time) > waitObjective {
			r.late++
		} else {
			r.inTime++
		}
	}
	settle := func() {
		waiting = slices.DeleteFunc(waiting, func(q *arrival) bool {
			select {
			case <-q.waiter.Decided():
			default:
				return false
			}
			if q.waiter.Err() == nil {
				start(q)
			} else {
				r.refused, r.held = r.refused+1, r.held+n.Sub(q.time)
			}
			return true
		})
	}
	for n.Before(end) {
		i := firstToEnd(running, next)
		if i >= 0 {
			q := running[i]
			n, running = q.ends, slices.Delete(running, i, i+1)
			l.Succeeded(q.run, waitSlots, waitSlots, n)
			w.Observe("e", q.run)
			a.Leave(n)
			settle()
			continue
		}
		n = next
		next = n.Add(time.Duration(k.ExpFloat64() * float64(waitWork) / waitSlots / x))
		q, o := &arrival{time: n}, n.Add(waitObjective)
		u := o.Add(-w.Usual("e"))
		if b {
			u = w.LatestStart("e", o, waitObjective, n)
		}
		r.arrived++
		p, e := a.EnterArrival(v, backendserver.Arrival{Class: lavenderridge.ClassNormal, Deadline: u.Add(l.Latency()), Objective: o}, n)
		switch {
		case e != nil:
			w.NoSlotFree(n)
			r.refused++
		case p == nil:
			w.SlotFree()
			start(q)
		default:
			w.NoSlotFree(n)
			q.waiter = p
			waiting = append(waiting, q)
		}
		settle()
	}
	return r
}

// firstToEnd returns the index of the request in a that ends first, or -1 if none ends
// before t.
func firstToEnd(a []*arrival, t time.Time) int {
	j := -1
	for i, q := range a {
		if q.ends.Before(t) {
			t, j = q.ends, i
		}
	}
	return j
}

// TestStandingWaitIsNotLonger guards against waits that become longer because the queue
// stands: for entries that usually run nearly as long as their objective, and after a quick
// first request, from which the ninth decile rises more slowly than the average.
func TestStandingWaitIsNotLonger(t *testing.T) {
	const objective = 500 * time.Millisecond
	for _, v := range []struct{ first, then time.Duration }{
		{first: 480 * time.Millisecond, then: 480 * time.Millisecond},
		{first: time.Millisecond, then: 300 * time.Millisecond},
	} {
		n := time.Unix(0, 0)
		w := backendserver.NewWaitBound(n)
		w.Observe("e", v.first)
		for range 30 {
			w.Observe("e", v.then)
		}
		w.NoSlotFree(n)
		n = n.Add(time.Second)
		o := n.Add(objective)
		usual, standing := o.Add(-w.Usual("e")), w.LatestStart("e", o, objective, n)
		if !w.Standing(n) || standing.After(usual) {
			t.Errorf("runs of %s, then %s: waits for %s; want at most %s", v.first, v.then, standing.Sub(n), usual.Sub(n))
		}
	}
}
