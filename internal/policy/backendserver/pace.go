package backendserver

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// paceWeight is the number of requests over which the pace is averaged, about
// as many as a backend server has slots.
const paceWeight = 10

// A Pace is the moving average of the duration of requests divided by their
// latency objective. Concurrent samples may be lost.
type Pace struct {
	bits atomic.Uint64
}

// Observe records that a request with the latency objective o took d.
func (p *Pace) Observe(d, o time.Duration) {
	if o <= 0 {
		return
	}
	n := float64(d) / float64(o)
	b := p.bits.Load()
	if v := math.Float64frombits(b); v > 0 {
		n = v + (n-v)/paceWeight
	}
	p.bits.CompareAndSwap(b, math.Float64bits(n))
}

// Value returns the pace, or zero before the first request.
func (p *Pace) Value() lavenderridge.Ratio {
	return lavenderridge.Ratio(math.Float64frombits(p.bits.Load()))
}
