package peer

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// localNeighbours is the number of neighbours that a daemon chooses in its
	// own data centre.
	localNeighbours = 4
	// remoteNeighbours is the number that it chooses in other data centres.
	remoteNeighbours = 2
	// downInDataCentre is the number of unreachable instances from which on a
	// data centre is chosen last.
	downInDataCentre = 3
)

// A Membership tells which daemons are neighbours under one instance list. It
// never changes once made.
type Membership struct {
	instances   map[lavenderridge.InstanceID]*lavenderridge.Instance
	live        map[lavenderridge.DataCentreID][]candidate
	dataCentres []lavenderridge.DataCentreID
}

// candidate is an instance that can be chosen, with the hash of its ID.
type candidate struct {
	instance *lavenderridge.Instance
	hash     uint64
}

// NewMembership returns the membership of the instance list l. Only live
// instances are chosen; leaving ones may choose.
func NewMembership(l *lavenderridge.InstanceList) *Membership {
	m := &Membership{
		instances: make(map[lavenderridge.InstanceID]*lavenderridge.Instance, len(l.Instances)),
		live:      make(map[lavenderridge.DataCentreID][]candidate),
	}
	for i := range l.Instances {
		n := &l.Instances[i]
		m.instances[n.ID] = n
		if n.State == lavenderridge.InstanceLive {
			m.live[n.DataCentre] = append(m.live[n.DataCentre], candidate{instance: n, hash: hash(n.ID)})
		}
	}
	for d := range m.live {
		m.dataCentres = append(m.dataCentres, d)
	}
	slices.Sort(m.dataCentres)
	return m
}

// Instance returns the listed instance with the ID d, or nil.
func (m *Membership) Instance(d lavenderridge.InstanceID) *lavenderridge.Instance {
	return m.instances[d]
}

// Size returns the number of listed instances.
func (m *Membership) Size() int {
	return len(m.instances)
}

// Chosen returns the neighbours that the instance n in the data centre d
// chooses. It passes over those of which x reports that they are down; nil
// tells that none is.
func (m *Membership) Chosen(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	return append(m.local(n, d, x), m.remote(n, d, x)...)
}

// Choosers returns the instances that choose the live instance n in the data
// centre d while none is down.
func (m *Membership) Choosers(n lavenderridge.InstanceID, d lavenderridge.DataCentreID) []*lavenderridge.Instance {
	var a []*lavenderridge.Instance
	if v := m.instances[n]; v == nil || v.State != lavenderridge.InstanceLive {
		return a
	}
	for _, v := range m.dataCentres {
		for _, j := range m.live[v] {
			if j.instance.ID != n && m.chooses(j.instance, n, d) {
				a = append(a, j.instance)
			}
		}
	}
	return a
}

// Neighbours returns the neighbours of the instance n in the data centre d:
// those that it chooses and those in c, which choose it. It passes over those
// of which x reports that they are down.
func (m *Membership) Neighbours(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, c []*lavenderridge.Instance, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	a := m.Chosen(n, d, x)
	for _, v := range c {
		if (x == nil || !x(v.ID)) && !slices.Contains(a, v) {
			a = append(a, v)
		}
	}
	return a
}

func (m *Membership) chooses(j *lavenderridge.Instance, n lavenderridge.InstanceID, d lavenderridge.DataCentreID) bool {
	f := func(v *lavenderridge.Instance) bool { return v.ID == n }
	if j.DataCentre == d {
		return slices.ContainsFunc(m.local(j.ID, d, nil), f)
	}
	r := m.remoteDataCentres(j.ID, j.DataCentre, nil)
	if len(r) < remoteNeighbours {
		return slices.ContainsFunc(m.remote(j.ID, j.DataCentre, nil), f)
	}
	return slices.Contains(r[:remoteNeighbours], d) && slices.ContainsFunc(first(m.live[d], j.ID, 1, nil), f)
}

func (m *Membership) local(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	return first(m.live[d], n, localNeighbours, x)
}

// remote takes the first instance of each other data centre in turn, then the
// second of each, until there are enough.
func (m *Membership) remote(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	var a, b []*lavenderridge.Instance
	for _, v := range m.remoteDataCentres(n, d, x) {
		r := first(m.live[v], n, remoteNeighbours, x)
		a = append(a, r[:min(1, len(r))]...)
		b = append(b, r[min(1, len(r)):]...)
		if len(a) == remoteNeighbours {
			return a
		}
	}
	a = append(a, b...)
	return a[:min(len(a), remoteNeighbours)]
}

// remoteDataCentres ranks the data centres other than d for the instance n.
// Those with several instances down come last.
func (m *Membership) remoteDataCentres(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) []lavenderridge.DataCentreID {
	type ranked struct {
		id    lavenderridge.DataCentreID
		down  bool
		score uint64
	}
	a := make([]ranked, 0, len(m.dataCentres))
	for _, v := range m.dataCentres {
		if v != d {
			a = append(a, ranked{id: v, down: m.isDown(v, x), score: pairScore(hash(n), hash(v))})
		}
	}
	slices.SortFunc(a, func(p, q ranked) int {
		if p.down != q.down {
			if p.down {
				return 1
			}
			return -1
		}
		return cmp.Compare(q.score, p.score)
	})
	r := make([]lavenderridge.DataCentreID, len(a))
	for i, v := range a {
		r[i] = v.id
	}
	return r
}

func (m *Membership) isDown(d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) bool {
	if x == nil {
		return false
	}
	c := 0
	for _, n := range m.live[d] {
		if x(n.instance.ID) {
			c++
		}
		if c == downInDataCentre {
			return true
		}
	}
	return false
}

// first returns the k instances of a that rank first for the instance n.
func first(a []candidate, n lavenderridge.InstanceID, k int, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	r := make([]*lavenderridge.Instance, 0, k+1)
	s := make([]uint64, 0, k+1)
	o := hash(n)
	for _, v := range a {
		h := pairScore(o, v.hash)
		if len(s) == k && h <= s[k-1] || v.instance.ID == n || x != nil && x(v.instance.ID) {
			continue
		}
		i := 0
		for i < len(s) && s[i] >= h {
			i++
		}
		r, s = slices.Insert(r, i, v.instance), slices.Insert(s, i, h)
		r, s = r[:min(len(r), k)], s[:min(len(s), k)]
	}
	return r
}

func hash[S ~string](s S) uint64 {
	return xxhash.Sum64String(string(s))
}

// pairScore mixes two hashes, so that each instance ranks the others in an
// order of its own. It is the last step of the SplitMix64 generator.
func pairScore(a, b uint64) uint64 {
	h := a + bits.RotateLeft64(b, 32)
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
