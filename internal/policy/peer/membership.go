package peer

import (
	"cmp"
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
	live        map[lavenderridge.DataCentreID][]*lavenderridge.Instance
	dataCentres []lavenderridge.DataCentreID
}

// NewMembership returns the membership of the instance list l. Only live
// instances are chosen; leaving ones may choose.
func NewMembership(l *lavenderridge.InstanceList) *Membership {
	m := &Membership{
		instances: make(map[lavenderridge.InstanceID]*lavenderridge.Instance, len(l.Instances)),
		live:      make(map[lavenderridge.DataCentreID][]*lavenderridge.Instance),
	}
	for i := range l.Instances {
		n := &l.Instances[i]
		m.instances[n.ID] = n
		if n.State == lavenderridge.InstanceLive {
			m.live[n.DataCentre] = append(m.live[n.DataCentre], n)
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
// chooses. It passes over those of which x reports that they are down.
func (m *Membership) Chosen(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	return append(m.local(n, d, x), m.remote(n, d, x)...)
}

// Neighbours returns the neighbours of the instance n in the data centre d:
// those that it chooses and those that choose it. It passes over those of
// which x reports that they are down.
func (m *Membership) Neighbours(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	a := m.Chosen(n, d, x)
	if v := m.instances[n]; v == nil || v.State != lavenderridge.InstanceLive {
		return a
	}
	for _, v := range m.dataCentres {
		for _, j := range m.live[v] {
			if j.ID != n && !x(j.ID) && !slices.Contains(a, j) && m.chooses(j, n, d) {
				a = append(a, j)
			}
		}
	}
	return a
}

func (m *Membership) chooses(j *lavenderridge.Instance, n lavenderridge.InstanceID, d lavenderridge.DataCentreID) bool {
	f := func(v *lavenderridge.Instance) bool { return v.ID == n }
	if j.DataCentre == d {
		return slices.ContainsFunc(m.local(j.ID, d, none), f)
	}
	r := m.remoteDataCentres(j.ID, j.DataCentre, none)
	if len(r) > remoteNeighbours {
		r = r[:remoteNeighbours]
	}
	return slices.Contains(r, d) && slices.ContainsFunc(m.remote(j.ID, j.DataCentre, none), f)
}

func none(lavenderridge.InstanceID) bool { return false }

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
			a = append(a, ranked{id: v, down: m.isDown(v, x), score: pairScore(string(n), string(v))})
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
	c := 0
	for _, n := range m.live[d] {
		if x(n.ID) {
			c++
		}
		if c == downInDataCentre {
			return true
		}
	}
	return false
}

// first returns the k instances of a that rank first for the instance n.
func first(a []*lavenderridge.Instance, n lavenderridge.InstanceID, k int, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	r := make([]*lavenderridge.Instance, 0, k+1)
	s := make([]uint64, 0, k+1)
	for _, v := range a {
		if v.ID == n || x(v.ID) {
			continue
		}
		h := pairScore(string(n), string(v.ID))
		i := 0
		for i < len(s) && s[i] >= h {
			i++
		}
		if i == k {
			continue
		}
		r, s = slices.Insert(r, i, v), slices.Insert(s, i, h)
		r, s = r[:min(len(r), k)], s[:min(len(s), k)]
	}
	return r
}

func pairScore(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}
