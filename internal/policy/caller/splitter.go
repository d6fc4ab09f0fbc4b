package caller

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// goldenRatio spreads the numbers 0, 1, 2 and so on evenly over [0, 1), so
// that also few requests are distributed by the weights.
const goldenRatio = 0.6180339887498949

// A Splitter distributes the requests of an entry over its services by their
// weights.
type Splitter struct {
	counts sync.Map // of lavenderridge.EntryID to *atomic.Uint64
	start  float64
}

// NewSplitter returns a splitter. The number r, from 0 to below 1, tells where
// it begins, so that many daemons do not begin with the same service.
func NewSplitter(r float64) *Splitter {
	return &Splitter{start: r}
}

// Service returns the service that is to run the next request of e.
func (s *Splitter) Service(e *lavenderridge.Entry) lavenderridge.ServiceID {
	if len(e.Split) == 0 {
		return e.Service
	}
	var w float64
	for _, v := range e.Split {
		w += v.Weight
	}
	_, p := math.Modf(s.start + goldenRatio*float64(s.next(e.ID)))
	p *= w
	for _, v := range e.Split {
		if p -= v.Weight; p < 0 {
			return v.Service
		}
	}
	return e.Service
}

func (s *Splitter) next(d lavenderridge.EntryID) uint64 {
	c, o := s.counts.Load(d)
	if !o {
		c, _ = s.counts.LoadOrStore(d, &atomic.Uint64{})
	}
	return c.(*atomic.Uint64).Add(1)
}
