package caller

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// goldenRatio is the fractional part of the golden ratio. Its multiples modulo 1
// are spread evenly over [0, 1), so that even a few requests are distributed by
// the weights.
const goldenRatio = 0.6180339887498949

// A Splitter distributes the requests of an entry over its services by their
// weights.
type Splitter struct {
	counts sync.Map // of lavenderridge.EntryID to *atomic.Uint64
	offset float64
}

// NewSplitter returns a splitter. The number r, from 0 to below 1, is the start
// of its sequence. It should differ between daemons, so that not all of them
// begin with the same service.
func NewSplitter(r float64) *Splitter {
	return &Splitter{offset: r}
}

// Service returns the service for the next request of e.
func (s *Splitter) Service(e *lavenderridge.Entry) lavenderridge.ServiceID {
	if len(e.Split) == 0 {
		return e.Service
	}
	var w float64
	for _, v := range e.Split {
		w += v.Weight
	}
	_, p := math.Modf(s.offset + goldenRatio*float64(s.next(e.ID)))
	p *= w
	for _, v := range e.Split {
		if p -= v.Weight; p < 0 {
			return v.Service
		}
	}
	return e.Service
}

// next returns the number of requests of the entry d, including this one.
func (s *Splitter) next(d lavenderridge.EntryID) uint64 {
	c, o := s.counts.Load(d)
	if !o {
		c, _ = s.counts.LoadOrStore(d, &atomic.Uint64{})
	}
	return c.(*atomic.Uint64).Add(1)
}
