package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderridge/lavenderridge"
)

// A distance ranks data centres as seen from one daemon.
type distance int

const (
	ownDataCentre distance = iota
	ownRegion
	otherRegion
	distances
)

// group holds targets at the same distance.
type group []target

// routeTable holds the targets of one service under one snapshot. It never
// changes once made; the state of its targets does.
type routeTable struct {
	snapshot *lavenderridge.Snapshot
	groups   [distances]group
	byID     map[lavenderridge.InstanceID]*targetState
}

// newRouteTable returns the table of the service d. The state of targets that
// are in the table p as well is kept.
func newRouteTable(b *BalancedRouter, s *lavenderridge.Snapshot, d lavenderridge.ServiceID, p *routeTable) *routeTable {
	v := &routeTable{snapshot: s, byID: make(map[lavenderridge.InstanceID]*targetState)}
	for _, n := range s.Instances(d) {
		if s.Eligible(n) {
			g := b.distance(s, n)
			v.groups[g] = append(v.groups[g], target{instance: n})
			v.keep(n.ID, p)
		}
	}
	for i := range v.groups {
		v.groups[i] = subset(v.groups[i], b.instance, b.subset)
		for j := range v.groups[i] {
			v.adopt(&v.groups[i][j])
		}
	}
	return v
}

// keep takes over what the table p knows of the instance i, whether or not it
// is in the subset now.
func (v *routeTable) keep(i lavenderridge.InstanceID, p *routeTable) {
	if p == nil {
		return
	}
	if n := p.byID[i]; n != nil {
		v.byID[i] = n
	}
}

func (v *routeTable) adopt(n *target) {
	n.targetState = v.byID[n.instance.ID]
	if n.targetState == nil {
		n.targetState = &targetState{}
		v.byID[n.instance.ID] = n.targetState
	}
}

// has reports whether the instance i is among the targets.
func (v *routeTable) has(i lavenderridge.InstanceID) bool {
	for _, g := range v.groups {
		if slices.ContainsFunc(g, func(n target) bool { return n.instance.ID == i }) {
			return true
		}
	}
	return false
}

// subset returns the first k targets of g by rendezvous hash with the
// instance i, so that another instance's coming or going moves at most one.
func subset(g group, i lavenderridge.InstanceID, k int) group {
	if len(g) <= k {
		return g
	}
	slices.SortFunc(g, func(a, b target) int {
		return cmp.Compare(rank(i, b.instance.ID), rank(i, a.instance.ID))
	})
	return slices.Clone(g[:k])
}

func rank(a, b lavenderridge.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(a))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(b))
	return d.Sum64()
}

// choose returns the nearest target that is usable and not overloaded, else
// the least loaded usable one, else the one whose exclusion ends first.
func (v *routeTable) choose(f func(int) int, x []lavenderridge.InstanceID, t time.Duration) *target {
	var m *target
	for _, g := range v.groups {
		n := g.pick(f, x, t)
		if n == nil {
			continue
		}
		if !n.overloaded(t) {
			return n
		}
		if m == nil || n.cost(t) < m.cost(t) {
			m = n
		}
	}
	if m != nil {
		return m
	}
	if m = v.firstBack(x); m != nil {
		return m
	}
	return v.firstBack(nil)
}

// pick returns the cheaper one of two usable targets taken at random. When
// that one is overloaded it returns the cheapest of all.
func (g group) pick(f func(int) int, x []lavenderridge.InstanceID, t time.Duration) *target {
	a := g.usable(f, x, t, nil)
	if a == nil {
		return nil
	}
	b := g.usable(f, x, t, a)
	if b != nil && b.cost(t) < a.cost(t) {
		a = b
	}
	if !a.overloaded(t) {
		return a
	}
	for i := range g {
		n := &g[i]
		if n.usable(t) && !slices.Contains(x, n.instance.ID) && n.cost(t) < a.cost(t) {
			a = n
		}
	}
	return a
}

// usable returns a usable target other than o, the first one from a random
// place on.
func (g group) usable(r func(int) int, x []lavenderridge.InstanceID, t time.Duration, o *target) *target {
	if len(g) == 0 {
		return nil
	}
	f := r(len(g))
	for i := range g {
		n := &g[(f+i)%len(g)]
		if n != o && n.usable(t) && !slices.Contains(x, n.instance.ID) {
			return n
		}
	}
	return nil
}

// firstBack returns the target outside x whose exclusion ends first.
func (v *routeTable) firstBack(x []lavenderridge.InstanceID) *target {
	var m *target
	for _, g := range v.groups {
		for i := range g {
			n := &g[i]
			if slices.Contains(x, n.instance.ID) {
				continue
			}
			if m == nil || n.excludedUntil.Load() < m.excludedUntil.Load() {
				m = n
			}
		}
	}
	return m
}
