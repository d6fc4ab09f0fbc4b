package caller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderridge/lavenderridge"
)

// A distance is the rank of a data centre as seen from one daemon: its own data
// centre, another one in its region, or one in another region.
type distance int

const (
	ownDataCentre distance = iota
	ownRegion
	otherRegion
	distances // the number of distances
)

// group holds the targets at one distance.
type group []target

// routeTable holds the targets of one service in one snapshot. It is immutable
// except for the state of its targets, which is shared with later tables.
type routeTable struct {
	snapshot *lavenderridge.Snapshot
	groups   [distances]group
	// byID also holds the states of earlier targets that are eligible but
	// outside the subset now.
	byID map[lavenderridge.InstanceID]*targetState
}

// newRouteTable returns the table of the service d in the snapshot s. Targets
// that are also in the previous table p, which may be nil, with the same run keep their
// state.
func newRouteTable(b *BalancedRouter, s *lavenderridge.Snapshot, d lavenderridge.ServiceID, p *routeTable) *routeTable {
	v := &routeTable{snapshot: s, byID: make(map[lavenderridge.InstanceID]*targetState)}
	for _, n := range s.Instances(d) {
		if s.Eligible(n) {
			g := b.distance(s, n)
			v.groups[g] = append(v.groups[g], target{instance: n})
			v.keepState(n, p)
		}
	}
	for i := range v.groups {
		v.groups[i] = rendezvousSubset(v.groups[i], b.instance, b.subset)
		for j := range v.groups[i] {
			v.attachState(&v.groups[i][j])
		}
	}
	return v
}

// keepState copies the state of the run at the instance n from the previous table p,
// whether or not the instance is in the new subset.
func (v *routeTable) keepState(n *lavenderridge.Instance, p *routeTable) {
	if p == nil {
		return
	}
	if o := p.byID[n.ID]; o != nil && o.run == n.Backend {
		v.byID[n.ID] = o
	}
}

// attachState sets the state of the target n: the kept one or a new one.
func (v *routeTable) attachState(n *target) {
	n.targetState = v.byID[n.instance.ID]
	if n.targetState == nil {
		n.targetState = &targetState{run: n.instance.Backend}
		v.byID[n.instance.ID] = n.targetState
	}
}

// contains reports whether the instance i is among the targets.
func (v *routeTable) contains(i lavenderridge.InstanceID) bool {
	for _, g := range v.groups {
		if slices.ContainsFunc(g, func(n target) bool { return n.instance.ID == i }) {
			return true
		}
	}
	return false
}

// rendezvousSubset returns the k targets of g with the highest rendezvous hash
// with the instance i, so that a target that is added or removed changes at
// most one member of the subset.
func rendezvousSubset(g group, i lavenderridge.InstanceID, k int) group {
	if len(g) <= k {
		return g
	}
	a := make([]scoredTarget, len(g))
	for j, n := range g {
		a[j] = scoredTarget{target: n, score: rendezvousScore(i, n.instance.ID)}
	}
	slices.SortFunc(a, func(x, y scoredTarget) int { return cmp.Compare(y.score, x.score) })
	v := make(group, k)
	for j := range v {
		v[j] = a[j].target
	}
	return v
}

// scoredTarget is a target with its rendezvous hash.
type scoredTarget struct {
	target
	score uint64
}

// rendezvousScore returns the rendezvous hash of the pair a and b.
func rendezvousScore(a, b lavenderridge.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(a))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(b))
	return d.Sum64()
}

// chooseNearest returns a target that c admits at the nearest distance where
// one is not overloaded. If all are overloaded, it returns the one with the
// lowest utilisation, or nil if none is usable.
func (v *routeTable) chooseNearest(f func(int) int, c *choice) *target {
	var m *target
	for _, g := range v.groups {
		n := g.pick(f, c)
		if n == nil {
			continue
		}
		if !n.overloaded(c.now) {
			return n
		}
		if m == nil || n.utilisation(c.now) < m.utilisation(c.now) {
			m = n
		}
	}
	return m
}

// pick returns the one with the lower utilisation of two random targets that c admits.
// If that one is overloaded, it returns the one with the lowest
// utilisation of all.
func (g group) pick(f func(int) int, c *choice) *target {
	a := g.randomUsable(f, c, nil)
	if a == nil {
		return nil
	}
	b := g.randomUsable(f, c, a)
	if b != nil && b.utilisation(c.now) < a.utilisation(c.now) {
		a = b
	}
	if !a.overloaded(c.now) {
		return a
	}
	for i := range g {
		n := &g[i]
		if c.admits(n) && n.utilisation(c.now) < a.utilisation(c.now) {
			a = n
		}
	}
	return a
}

// randomUsable returns a target other than o that c admits, the first from a random
// position on, or nil.
func (g group) randomUsable(r func(int) int, c *choice, o *target) *target {
	if len(g) == 0 {
		return nil
	}
	f := r(len(g))
	for i := range g {
		n := &g[(f+i)%len(g)]
		if n != o && c.admits(n) {
			return n
		}
	}
	return nil
}

// unconfirmedLimit returns a target that c admits and whose limit is unconfirmed, or nil.
func (v *routeTable) unconfirmedLimit(c *choice) *target {
	for _, g := range v.groups {
		for i := range g {
			if n := &g[i]; n.unconfirmed(c.now) && c.admits(n) {
				return n
			}
		}
	}
	return nil
}

// earliestReadmitted returns the target outside x whose exclusion ends first, or nil. It
// leaves out targets without room.
func (v *routeTable) earliestReadmitted(c *choice, x []lavenderridge.InstanceID) *target {
	var m *target
	for _, g := range v.groups {
		for i := range g {
			n := &g[i]
			if slices.Contains(x, n.instance.ID) || !c.hasRoom(n) {
				continue
			}
			if m == nil || n.excludedUntil.Load() < m.excludedUntil.Load() {
				m = n
			}
		}
	}
	return m
}
