package caller

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	shedWindow = 2 * time.Second
	// minRefused is the number of refusals below which nothing is shed.
	minRefused = 10
	// maxShed bounds the part that is shed, so that enough requests find out
	// when the targets accept again.
	maxShed = 0.9
)

// A Shedder refuses a part of a service's requests when its targets refuse
// many as overloaded, the lower classes first, so that what the targets bear
// is not spent on refusals.
type Shedder struct {
	start    time.Time
	random   func() float64
	services sync.Map // of lavenderridge.ServiceID to *atomic.Pointer[shedCounts]
}

// shedCounts counts the requests of two windows of time.
type shedCounts struct {
	window             int64
	previousRequests   int64
	previousAccepted   int64
	requests, accepted atomic.Int64
}

// NewShedder returns a shedder that starts at t. The function f gives random
// numbers from 0 to below 1; nil stands for the usual ones.
func NewShedder(t time.Time, f func() float64) *Shedder {
	if f == nil {
		f = rand.Float64
	}
	return &Shedder{start: t, random: f}
}

// Enter refuses a request of the service d and the class k with a probability
// that grows with the part that the targets refused.
func (s *Shedder) Enter(d lavenderridge.ServiceID, k lavenderridge.Class, t time.Time) error {
	v := s.counts(d, t)
	n, a := v.sum()
	if n-a < minRefused {
		return nil
	}
	p := (float64(n) - multiple(k)*float64(a)) / float64(n+1)
	if s.random() >= min(p, maxShed) {
		return nil
	}
	v.requests.Add(1)
	return busy(lavenderridge.ReasonOverloaded, busyRetryAfter, "the service is overloaded")
}

// End counts a request that the targets have accepted, or have refused as
// overloaded.
func (s *Shedder) End(d lavenderridge.ServiceID, o bool, t time.Time) {
	v := s.counts(d, t)
	v.requests.Add(1)
	if o {
		v.accepted.Add(1)
	}
}

// multiple returns how many requests of the class k go to the targets for each
// one that they accept.
func multiple(k lavenderridge.Class) float64 {
	switch k {
	case lavenderridge.ClassCritical:
		return 4
	case lavenderridge.ClassNormal:
		return 2
	default:
		return 1.2
	}
}

// counts returns the counts of the service d, with a new window when the time
// has come.
func (s *Shedder) counts(d lavenderridge.ServiceID, t time.Time) *shedCounts {
	p := s.pointer(d)
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

func (s *Shedder) pointer(d lavenderridge.ServiceID) *atomic.Pointer[shedCounts] {
	if p, o := s.services.Load(d); o {
		return p.(*atomic.Pointer[shedCounts])
	}
	n := &atomic.Pointer[shedCounts]{}
	n.Store(&shedCounts{})
	p, _ := s.services.LoadOrStore(d, n)
	return p.(*atomic.Pointer[shedCounts])
}

// sum returns the requests and the accepted ones of both windows.
func (v *shedCounts) sum() (n, a int64) {
	return v.previousRequests + v.requests.Load(), v.previousAccepted + v.accepted.Load()
}
