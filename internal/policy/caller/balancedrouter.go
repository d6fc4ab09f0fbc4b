package caller

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// defaultSubset is the largest number of targets of a service at one distance.
	defaultSubset = 16
	// sizeSamples is the number of requests over which the size is averaged.
	sizeSamples = 8

	noTargetRetryAfter = time.Second
)

// A BalancedRouter chooses the less loaded of two random targets at the nearest
// distance that has a usable target with capacity left. It computes the load
// from its own requests in flight and from the loads that responses and
// refusals report.
//
// The targets of each service are in a table that is replaced when the snapshot
// changes (read-copy-update), so that routing takes no lock.
type BalancedRouter struct {
	instance   lavenderridge.InstanceID
	dataCentre lavenderridge.DataCentreID
	start      time.Time
	subset     int
	random     func(n int) int
	// leastCost makes the router choose the target with the least expected cost.
	leastCost bool
	// sizes holds the average size of a request and its response in bytes.
	sizes    sync.Map // of lavenderridge.EntryID to *atomic.Int64
	services sync.Map // of lavenderridge.ServiceID to *atomic.Pointer[routeTable]
}

var (
	_ lavenderridge.Router  = (*BalancedRouter)(nil)
	_ lavenderridge.Tracker = (*BalancedRouter)(nil)
)

// NewBalancedRouter returns a router for the instance i in the data centre d
// that starts at the time t.
func NewBalancedRouter(i lavenderridge.InstanceID, d lavenderridge.DataCentreID, t time.Time, o ...RouterOption) *BalancedRouter {
	b := &BalancedRouter{instance: i, dataCentre: d, start: t, subset: defaultSubset, random: rand.IntN}
	for _, f := range o {
		f(b)
	}
	return b
}

// Route implements lavenderridge.Router.
func (b *BalancedRouter) Route(s *lavenderridge.Snapshot, r *lavenderridge.Request, x lavenderridge.Exclusion, t time.Time) (*lavenderridge.Instance, error) {
	v, c := b.table(s, r.Service), &choice{class: r.Class, exclude: x.Instances, now: t.Sub(b.start)}
	n := b.choose(v, r, c)
	if n == nil && !x.Refusing {
		n = v.earliestReadmitted(c, x.Instances)
	}
	if n == nil && !x.Refusing {
		n = v.earliestReadmitted(c, nil)
	}
	if c.limited != nil {
		r.Limited = c.limited.at(c.now)
	}
	switch {
	case n != nil:
		return n.instance, nil
	case c.limited != nil:
		return nil, noRoom(c)
	case x.Refusing:
		return nil, noOtherTarget()
	}
	return nil, noTarget()
}

// choose returns the target of the table v that c admits for the request r, or nil if
// there is none.
func (b *BalancedRouter) choose(v *routeTable, r *lavenderridge.Request, c *choice) *target {
	if n := v.unconfirmedLimit(c); n != nil {
		return n
	}
	if b.leastCost {
		return v.chooseLeastCost(b.random, c, b.averageSize(r.Entry), timeToObjective(r, b.start.Add(c.now)))
	}
	return v.chooseNearest(b.random, c)
}

// noRoom returns the refusal of a request for which the limits that backend servers
// have named leave no room. It advises to come back when the first one has room.
func noRoom(c *choice) *lavenderridge.Refusal {
	w := c.limited.roomIn(c.class, c.now)
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonBackendLimit, "no instance has room")
	f.RetryAfter, f.Heard = w, c.limited.at(c.now)
	if h := f.Heard; h != nil {
		f.Detail = fmt.Sprintf("no instance has room within the limits that backend servers have named; the first one, of %g requests a second, was heard by %s %s ago", h.Limit, h.Place, h.Age.Round(time.Millisecond))
	}
	return f
}

// noOtherTarget returns the refusal of a request for which every target is excluded.
func noOtherTarget() *lavenderridge.Refusal {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, "every instance has refused requests recently")
}

// timeToObjective returns the time left at t until the objective of r, or zero
// if r has none or it has passed.
func timeToObjective(r *lavenderridge.Request, t time.Time) time.Duration {
	if r.Objective.IsZero() {
		return 0
	}
	return max(0, r.Objective.Sub(t))
}

// Answered implements lavenderridge.Tracker.
func (b *BalancedRouter) Answered(d lavenderridge.ServiceID, i lavenderridge.InstanceID, e lavenderridge.EntryID, c int, n lavenderridge.ByteCount) {
	if v := b.state(d, i); v != nil {
		v.observeStatus(c)
	}
	p, o := b.sizes.Load(e)
	if !o {
		p, _ = b.sizes.LoadOrStore(e, &atomic.Int64{})
	}
	v := p.(*atomic.Int64)
	k := v.Load()
	v.CompareAndSwap(k, k+(int64(n)-k)/sizeSamples)
}

// averageSize returns the moving average of the size of a request of the entry
// e together with its response, or zero if none has been answered yet.
func (b *BalancedRouter) averageSize(e lavenderridge.EntryID) lavenderridge.ByteCount {
	if p, o := b.sizes.Load(e); o {
		return lavenderridge.ByteCount(p.(*atomic.Int64).Load())
	}
	return 0
}

// Begin implements lavenderridge.Tracker.
func (b *BalancedRouter) Begin(d lavenderridge.ServiceID, n lavenderridge.InstanceID, t time.Time) *lavenderridge.HeardNotice {
	v := b.state(d, n)
	if v == nil {
		return nil
	}
	v.begin()
	return v.at(t.Sub(b.start))
}

// Noticed implements lavenderridge.Tracker.
func (b *BalancedRouter) Noticed(d lavenderridge.ServiceID, n lavenderridge.InstanceID, h lavenderridge.HeardNotice, t time.Time) {
	if v := b.state(d, n); v != nil && v.run == h.Backend {
		v.notice(h, t.Sub(b.start))
	}
}

// Limited implements lavenderridge.Tracker.
func (b *BalancedRouter) Limited(d lavenderridge.ServiceID, n lavenderridge.InstanceID, a lavenderridge.BackendID, k lavenderridge.Class, t time.Time) {
	if v := b.state(d, n); v != nil && v.run == a {
		v.full(k, t.Sub(b.start))
	}
}

// LimitsInForce returns the number of targets that have named a limit to this daemon and
// not ended it.
func (b *BalancedRouter) LimitsInForce() int {
	n := 0
	b.services.Range(func(_, p any) bool {
		v := p.(*atomic.Pointer[routeTable]).Load()
		if v == nil {
			return true
		}
		for _, o := range v.byID {
			if h := o.heard.Load(); h != nil && h.Limited {
				n++
			}
		}
		return true
	})
	return n
}

// End implements lavenderridge.Tracker.
func (b *BalancedRouter) End(d lavenderridge.ServiceID, n lavenderridge.InstanceID, l lavenderridge.Load, f *lavenderridge.Refusal, t time.Time) {
	v := b.state(d, n)
	if v == nil {
		return
	}
	u := t.Sub(b.start)
	v.recordLoad(l, v.end(), u)
	v.recordOutcome(f, u)
}

// state returns the state of the instance n as a target of the service d, or
// nil.
func (b *BalancedRouter) state(d lavenderridge.ServiceID, n lavenderridge.InstanceID) *targetState {
	if v := b.currentTable(d); v != nil {
		return v.byID[n]
	}
	return nil
}

// currentTable returns the latest table of the service d, or nil.
func (b *BalancedRouter) currentTable(d lavenderridge.ServiceID) *routeTable {
	p, o := b.services.Load(d)
	if !o {
		return nil
	}
	return p.(*atomic.Pointer[routeTable]).Load()
}

// table returns the table of the service d for the snapshot s and publishes it
// if it is new. A table for a snapshot older than the published one is built
// for the caller only and not published.
func (b *BalancedRouter) table(s *lavenderridge.Snapshot, d lavenderridge.ServiceID) *routeTable {
	p := b.tablePointer(d)
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

// tablePointer returns the pointer to the published table of the service d.
func (b *BalancedRouter) tablePointer(d lavenderridge.ServiceID) *atomic.Pointer[routeTable] {
	if p, o := b.services.Load(d); o {
		return p.(*atomic.Pointer[routeTable])
	}
	p, _ := b.services.LoadOrStore(d, &atomic.Pointer[routeTable]{})
	return p.(*atomic.Pointer[routeTable])
}

// distance returns the distance of the data centre of n under s.
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

// HasTarget reports whether the instance n is among the targets of the service d.
func (b *BalancedRouter) HasTarget(d lavenderridge.ServiceID, n lavenderridge.InstanceID) bool {
	v := b.currentTable(d)
	return v != nil && v.contains(n)
}
