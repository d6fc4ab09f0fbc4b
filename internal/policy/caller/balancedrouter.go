package caller

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	defaultSubset = 16
	// sizeWeight is the number of requests over which sizes are averaged.
	sizeWeight = 8

	noTargetRetryAfter = time.Second
)

// A BalancedRouter takes the less loaded one of two targets chosen at random,
// in the nearest data centre that has a usable one. It learns the load from
// its own requests in flight and from what replies and refusals carry.
//
// The targets of each service are a table that is replaced when the snapshot
// changes. Routing takes no lock.
type BalancedRouter struct {
	instance   lavenderridge.InstanceID
	dataCentre lavenderridge.DataCentreID
	start      time.Time
	subset     int
	random     func(n int) int
	// paced makes the router choose by the expected time.
	paced    bool
	sizes    sync.Map // of lavenderridge.EntryID to *atomic.Int64
	services sync.Map // of lavenderridge.ServiceID to *atomic.Pointer[routeTable]
}

var (
	_ lavenderridge.Router  = (*BalancedRouter)(nil)
	_ lavenderridge.Tracker = (*BalancedRouter)(nil)
)

// NewBalancedRouter returns the router of the instance i in the data centre d,
// made at the time t.
func NewBalancedRouter(i lavenderridge.InstanceID, d lavenderridge.DataCentreID, t time.Time, o ...RouterOption) *BalancedRouter {
	b := &BalancedRouter{instance: i, dataCentre: d, start: t, subset: defaultSubset, random: rand.IntN}
	for _, f := range o {
		f(b)
	}
	return b
}

// Route implements lavenderridge.Router.
func (b *BalancedRouter) Route(s *lavenderridge.Snapshot, r *lavenderridge.Request, x []lavenderridge.InstanceID, t time.Time) (*lavenderridge.Instance, error) {
	n := b.choose(b.table(s, r.Service), r, x, t.Sub(b.start))
	if n == nil {
		return nil, noTarget()
	}
	return n.instance, nil
}

func (b *BalancedRouter) choose(v *routeTable, r *lavenderridge.Request, x []lavenderridge.InstanceID, t time.Duration) *target {
	if b.paced {
		return v.choosePaced(b.random, x, t, b.size(r.Entry), objective(r, b.start.Add(t)))
	}
	return v.choose(b.random, x, t)
}

// objective returns the time left at t until the objective of r, or zero.
func objective(r *lavenderridge.Request, t time.Time) time.Duration {
	if r.Objective.IsZero() {
		return 0
	}
	return max(0, r.Objective.Sub(t))
}

// Answered implements lavenderridge.Tracker.
func (b *BalancedRouter) Answered(d lavenderridge.ServiceID, i lavenderridge.InstanceID, e lavenderridge.EntryID, c int, n lavenderridge.ByteCount) {
	if v := b.state(d, i); v != nil {
		v.answered(c)
	}
	p, o := b.sizes.Load(e)
	if !o {
		p, _ = b.sizes.LoadOrStore(e, &atomic.Int64{})
	}
	v := p.(*atomic.Int64)
	k := v.Load()
	v.CompareAndSwap(k, k+(int64(n)-k)/sizeWeight)
}

// size returns the usual size of a request of the entry e with its response.
func (b *BalancedRouter) size(e lavenderridge.EntryID) lavenderridge.ByteCount {
	if p, o := b.sizes.Load(e); o {
		return lavenderridge.ByteCount(p.(*atomic.Int64).Load())
	}
	return 0
}

// Begin implements lavenderridge.Tracker.
func (b *BalancedRouter) Begin(d lavenderridge.ServiceID, n lavenderridge.InstanceID) {
	if v := b.state(d, n); v != nil {
		v.begin()
	}
}

// End implements lavenderridge.Tracker.
func (b *BalancedRouter) End(d lavenderridge.ServiceID, n lavenderridge.InstanceID, l lavenderridge.Load, f *lavenderridge.Refusal, t time.Time) {
	v := b.state(d, n)
	if v == nil {
		return
	}
	u := t.Sub(b.start)
	v.report(l, v.end(), u)
	v.learn(f, u)
}

func (b *BalancedRouter) state(d lavenderridge.ServiceID, n lavenderridge.InstanceID) *targetState {
	if v := b.current(d); v != nil {
		return v.byID[n]
	}
	return nil
}

// current returns the latest table of the service d, or nil.
func (b *BalancedRouter) current(d lavenderridge.ServiceID) *routeTable {
	p, o := b.services.Load(d)
	if !o {
		return nil
	}
	return p.(*atomic.Pointer[routeTable]).Load()
}

// table returns the table of the service d under s. A table for an older
// snapshot than the current one is made for this use only.
func (b *BalancedRouter) table(s *lavenderridge.Snapshot, d lavenderridge.ServiceID) *routeTable {
	p := b.pointer(d)
	for {
		v := p.Load()
		if v != nil && v.snapshot == s {
			return v
		}
		n := newRouteTable(b, s, d, v)
		if v != nil && !s.Versions().Covers(v.snapshot.Versions()) {
			return n
		}
		if p.CompareAndSwap(v, n) {
			return n
		}
	}
}

func (b *BalancedRouter) pointer(d lavenderridge.ServiceID) *atomic.Pointer[routeTable] {
	if p, o := b.services.Load(d); o {
		return p.(*atomic.Pointer[routeTable])
	}
	p, _ := b.services.LoadOrStore(d, &atomic.Pointer[routeTable]{})
	return p.(*atomic.Pointer[routeTable])
}

func (b *BalancedRouter) distance(s *lavenderridge.Snapshot, n *lavenderridge.Instance) distance {
	if n.DataCentre == b.dataCentre {
		return ownDataCentre
	}
	o, d := s.DataCentre(b.dataCentre), s.DataCentre(n.DataCentre)
	if o != nil && d != nil && o.Region == d.Region {
		return ownRegion
	}
	return otherRegion
}

// Knows reports whether the instance n is among the targets of the service d.
func (b *BalancedRouter) Knows(d lavenderridge.ServiceID, n lavenderridge.InstanceID) bool {
	v := b.current(d)
	return v != nil && v.has(n)
}
