package backendserver

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
	standin "github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
)

const (
	goodputService = 10 * time.Millisecond
	goodputTimeout = 250 * time.Millisecond
	goodputWarmUp  = 6 * time.Second
	goodputTime    = 4 * time.Second
	// A weak backend server takes weakSlowdown longer for each concurrent request
	// above weakSlots.
	weakSlots    lavenderridge.Slots = 5
	weakSlowdown                     = 20 * time.Millisecond
)

// A Goodput is the rate at which one backend server answered requests in time, at
// one offered load.
type Goodput struct {
	Mode Mode
	// Weak is true if the backend server can handle only half of the catalogue's
	// slots.
	Weak bool
	// Factor is the offered load as a multiple of Capacity.
	Factor float64
	// Capacity is the rate that the backend server can handle without slowing down.
	Capacity lavenderridge.Rate
	// Offered is the rate of all requests sent, Good of those answered in time.
	Offered lavenderridge.Rate
	Good    lavenderridge.Rate
	// Critical is the fraction of the critical requests that were answered in time.
	Critical lavenderridge.Ratio
	// P99 is the 99th percentile of the latency of the good requests.
	P99 time.Duration
}

// MeasureGoodput sends f times the capacity to one backend server, with the
// admission control m. The backend server is weak if w is set: it can handle only
// half of the slots in the catalogue.
func MeasureGoodput(c context.Context, m Mode, w bool, f float64) (Goodput, error) {
	c, x := context.WithCancel(c)
	defer x()
	n := slots
	var o []standin.Option
	if w {
		n, o = weakSlots, []standin.Option{standin.WithSlowdown(weakSlots, weakSlowdown)}
	}
	g := Goodput{Mode: m, Weak: w, Factor: f, Capacity: lavenderridge.Rate(float64(n) / goodputService.Seconds())}
	b, e := newBench(c, 1, m, goodputService, o...)
	if e != nil {
		return g, e
	}
	defer b.close()
	defer x()
	r := g.Capacity * lavenderridge.Rate(f)
	b.sendLoad(c, r, goodputWarmUp, goodputTimeout, func(result) {})
	g.summarise(collect(c, b, r))
	return g, nil
}

// collect sends requests at the rate r for goodputTime and returns their results.
func collect(c context.Context, b *bench, r lavenderridge.Rate) []result {
	var m sync.Mutex
	var a []result
	b.sendLoad(c, r, goodputTime, goodputTimeout, func(v result) {
		m.Lock()
		defer m.Unlock()
		a = append(a, v)
	})
	return a
}

// summarise sets the measured fields of g from the results a.
func (g *Goodput) summarise(a []result) {
	var l []time.Duration
	var k, n int
	for _, v := range a {
		if v.class == lavenderridge.ClassCritical {
			n++
		}
		if !v.good {
			continue
		}
		l = append(l, v.latency)
		if v.class == lavenderridge.ClassCritical {
			k++
		}
	}
	slices.Sort(l)
	g.Offered = lavenderridge.Rate(float64(len(a)) / goodputTime.Seconds())
	g.Good = lavenderridge.Rate(float64(len(l)) / goodputTime.Seconds())
	g.Critical = lavenderridge.Ratio(float64(k) / float64(max(1, n)))
	if len(l) > 0 {
		g.P99 = l[len(l)*99/100]
	}
}
