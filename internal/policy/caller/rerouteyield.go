package caller

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// minRerouteYield is the share of further attempts that must find room. Below it, the
	// attempts only move the load between backend servers that are all full.
	minRerouteYield = 0.2
	// yieldSamples is the number of attempts over which the yield is averaged.
	yieldSamples = 16
	// yieldRecovery is the time constant with which the yield returns to one.
	yieldRecovery = 2 * time.Second
	// yieldProbes is how many requests share one further attempt while the yield is too
	// low, by which a change is noticed.
	yieldProbes = 8
)

// A rerouteYield measures how many of the attempts that follow a refusal for overload
// find another instance with room, and stops them while hardly any does. It is safe for
// concurrent use.
type rerouteYield struct {
	base   time.Time
	state  atomic.Uint64 // of yieldState
	denied atomic.Uint64
}

func newRerouteYield(t time.Time) *rerouteYield {
	y := &rerouteYield{base: t}
	y.state.Store(uint64(newYieldState(1, 0)))
	return y
}

// record adds the result of a further attempt, which found room if o is set.
func (y *rerouteYield) record(o bool, t time.Time) {
	v := 0.0
	if o {
		v = 1
	}
	for {
		b := y.state.Load()
		s := yieldState(b)
		d := max(s.time(), t.Sub(y.base))
		n := s.recovered(d)
		n += (v - n) / yieldSamples
		if y.state.CompareAndSwap(b, uint64(newYieldState(n, d))) {
			return
		}
	}
}

// allow reports whether a request may make a further attempt at the time t.
func (y *rerouteYield) allow(t time.Time) bool {
	if yieldState(y.state.Load()).recovered(t.Sub(y.base)) >= minRerouteYield {
		return true
	}
	return y.denied.Add(1)%yieldProbes == 0
}

// A yieldState is a yield, with yieldBits of precision, and the time after the base to
// which it applies, in milliseconds in the bits above.
type yieldState uint64

const (
	yieldBits = 24
	yieldOne  = 1<<yieldBits - 1
)

func newYieldState(n float64, d time.Duration) yieldState {
	return yieldState(d.Milliseconds())<<yieldBits | yieldState(math.Round(n*yieldOne))
}

func (s yieldState) yield() float64 {
	return float64(s&yieldOne) / yieldOne
}

func (s yieldState) time() time.Duration {
	return time.Duration(s>>yieldBits) * time.Millisecond
}

// recovered returns the yield at the time d, moved towards one by the time that has passed.
func (s yieldState) recovered(d time.Duration) float64 {
	p := max(0, (d - s.time()).Truncate(time.Millisecond))
	return 1 - (1-s.yield())*math.Exp(-float64(p)/float64(yieldRecovery))
}
