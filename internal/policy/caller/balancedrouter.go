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
	services   sync.Map // of lavenderridge.ServiceID to *atomic.Pointer[routeTable]
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
	n := b.table(s, r.Service).choose(b.random, x, t.Sub(b.start))
	if n == nil {
		return nil, noTarget()
	}
	return n.instance, nil
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
