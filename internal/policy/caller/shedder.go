package caller

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// shedWindow is the length of a window of time; decisions use the current and
	// the previous one.
	shedWindow = 2 * time.Second
	// minRefusals is the number of refusals below which no request is shed.
	minRefusals = 10
	// maxShedProbability bounds the probability of shedding, so that enough
	// requests reach the targets to detect when they accept again.
	maxShedProbability = 0.9
)

// A Shedder refuses a fraction of a service's requests while its targets refuse
// many as overloaded, the lower classes first, so that the targets do not spend
// their capacity on refusals.
type Shedder struct {
	start    time.Time
	random   func() float64
	services sync.Map // of lavenderridge.ServiceID to *atomic.Pointer[shedCounts]
}

// shedCounts counts the requests of one service and those that its targets
// accepted, in the current window of time and the one before.
type shedCounts struct {
	// window is the number of windows since the shedder's start.
	window             int64
	previousRequests   int64
	previousAccepted   int64
	requests, accepted atomic.Int64
}

// NewShedder returns a shedder that starts at t. The function f returns random
// numbers from 0 to below 1; nil means rand.Float64.
func NewShedder(t time.Time, f func() float64) *Shedder {
	if f == nil {
		f = rand.Float64
	}
	return &Shedder{start: t, random: f}
}

// Admit refuses a request of the service d and the class k with a probability
// that grows with the fraction of requests that the targets refused. Shed
// requests count as requests too.
func (s *Shedder) Admit(d lavenderridge.ServiceID, k lavenderridge.Class, t time.Time) error {
	v := s.counts(d, t)
	n, a := v.totals()
	if n-a < minRefusals {
		return nil
	}
	p := (float64(n) - acceptMultiplier(k)*float64(a)) / float64(n+1)
	if s.random() >= min(p, maxShedProbability) {
		return nil
	}
	v.requests.Add(1)
	return retryLater(lavenderridge.ReasonOverloaded, limitRetryAfter, "the targets of the service are overloaded")
}

// Record counts a request that the targets accepted if o is true, or refused as
// overloaded.
func (s *Shedder) Record(d lavenderridge.ServiceID, o bool, t time.Time) {
	v := s.counts(d, t)
	v.requests.Add(1)
	if o {
		v.accepted.Add(1)
	}
}

// acceptMultiplier returns how many requests of the class k may go to the
// targets for each request that they accept.
func acceptMultiplier(k lavenderridge.Class) float64 {
	switch k {
	case lavenderridge.ClassCritical:
		return 4
	case lavenderridge.ClassNormal:
		return 2
	default:
		return 1.2
	}
}

// counts returns the counts of the service d for the window of the time t and
// replaces those of an earlier window.
func (s *Shedder) counts(d lavenderridge.ServiceID, t time.Time) *shedCounts {
	p := s.countsPointer(d)
	w := int64(t.Sub(s.start) / shedWindow)
	v := p.Load()
	if v.window >= w {
		return v
	}
	n := &shedCounts{window: w}
	if v.window == w-1 {
		n.previousRequests, n.previousAccepted = v.requests.Load(), v.accepted.Load()
	}
	if p.CompareAndSwap(v, n) {
		return n
	}
	return p.Load()
}

// countsPointer returns the pointer to the counts of the service d.
func (s *Shedder) countsPointer(d lavenderridge.ServiceID) *atomic.Pointer[shedCounts] {
	if p, o := s.services.Load(d); o {
		return p.(*atomic.Pointer[shedCounts])
	}
	n := &atomic.Pointer[shedCounts]{}
	n.Store(&shedCounts{})
	p, _ := s.services.LoadOrStore(d, n)
	return p.(*atomic.Pointer[shedCounts])
}

// totals returns the requests and the accepted requests of both windows.
func (v *shedCounts) totals() (n, a int64) {
	return v.previousRequests + v.requests.Load(), v.previousAccepted + v.accepted.Load()
}
