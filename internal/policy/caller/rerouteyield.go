package caller

import (
	"math"
	"sync"
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
// find another instance with room, and stops them while hardly any does.
type rerouteYield struct {
	mutex  sync.Mutex
	yield  float64
	time   time.Time
	denied int
}

func newRerouteYield(t time.Time) *rerouteYield {
	return &rerouteYield{yield: 1, time: t}
}

// record adds the result of a further attempt, which found room if o is set.
func (y *rerouteYield) record(o bool, t time.Time) {
	y.mutex.Lock()
	defer y.mutex.Unlock()
	y.recover(t)
	v := 0.0
	if o {
		v = 1
	}
	y.yield += (v - y.yield) / yieldSamples
}

// allow reports whether a request may make a further attempt at the time t.
func (y *rerouteYield) allow(t time.Time) bool {
	y.mutex.Lock()
	defer y.mutex.Unlock()
	y.recover(t)
	if y.yield >= minRerouteYield {
		return true
	}
	y.denied++
	return y.denied%yieldProbes == 0
}

// recover moves the yield towards one by the time since the last call.
func (y *rerouteYield) recover(t time.Time) {
	d := t.Sub(y.time)
	if d <= 0 {
		return
	}
	y.yield = 1 - (1-y.yield)*math.Exp(-float64(d)/float64(yieldRecovery))
	y.time = t
}
