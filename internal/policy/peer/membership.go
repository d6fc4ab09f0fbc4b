package peer

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// localNeighbours is the number of neighbours that a daemon selects in its
	// own data centre.
	localNeighbours = 4
	// remoteNeighbours is the number that it selects in other data centres.
	remoteNeighbours = 2
	// dataCentreDownThreshold is the number of unreachable instances at which a
	// data centre is ranked last.
	dataCentreDownThreshold = 3
)

// A Membership determines the neighbour graph of one instance list: each daemon
// selects a few others by rendezvous hash, and every daemon can compute the
// selection of all. It is immutable.
type Membership struct {
	instances   map[lavenderridge.InstanceID]*lavenderridge.Instance
	live        map[lavenderridge.DataCentreID][]candidate
	dataCentres []lavenderridge.DataCentreID
}

// candidate is an instance that can be selected, with the hash of its ID.
type candidate struct {
	instance *lavenderridge.Instance
	hash     uint64
}

// NewMembership returns the membership of the instance list l. Only live
// instances are selected. Leaving ones still select neighbours.
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

// Outbound returns the neighbours that the instance n in the data centre d
// selects. Instances for which x returns true are down and are skipped; with a
// nil x none is down.
func (m *Membership) Outbound(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	return append(m.local(n, d, x), m.remote(n, d, x)...)
}

// Inbound returns the instances that select the instance n in the data centre d
// as a neighbour while no instance is down. There are none if n is not live.
func (m *Membership) Inbound(n lavenderridge.InstanceID, d lavenderridge.DataCentreID) []*lavenderridge.Instance {
	var a []*lavenderridge.Instance
	if v := m.instances[n]; v == nil || v.State != lavenderridge.InstanceLive {
		return a
	}
	for _, v := range m.dataCentres {
		for _, j := range m.live[v] {
			if j.instance.ID != n && m.hasOutbound(j.instance, n, d) {
				a = append(a, j.instance)
			}
		}
	}
	return a
}

// Neighbours returns the neighbours of the instance n in the data centre d: those
// that it selects and those in c, which select it. Instances for which x returns
// true are down and are skipped.
func (m *Membership) Neighbours(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, c []*lavenderridge.Instance, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	a := m.Outbound(n, d, x)
	for _, v := range c {
		if (x == nil || !x(v.ID)) && !slices.Contains(a, v) {
			a = append(a, v)
		}
	}
	return a
}

// hasOutbound reports whether the instance j selects the instance n in the data
// centre d while no instance is down.
func (m *Membership) hasOutbound(j *lavenderridge.Instance, n lavenderridge.InstanceID, d lavenderridge.DataCentreID) bool {
	f := func(v *lavenderridge.Instance) bool { return v.ID == n }
	if j.DataCentre == d {
		return slices.ContainsFunc(m.local(j.ID, d, nil), f)
	}
	r := m.remoteDataCentres(j.ID, j.DataCentre, nil)
	if len(r) < remoteNeighbours {
		return slices.ContainsFunc(m.remote(j.ID, j.DataCentre, nil), f)
	}
	return slices.Contains(r[:remoteNeighbours], d) && slices.ContainsFunc(highestRanked(m.live[d], j.ID, 1, nil), f)
}

// local returns the neighbours that n selects in its own data centre d.
func (m *Membership) local(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	return highestRanked(m.live[d], n, localNeighbours, x)
}

// remote returns the neighbours that n selects in other data centres than d: the
// highest ranked instance of each data centre in turn, then the second of each,
// until there are enough.
func (m *Membership) remote(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
	var a, b []*lavenderridge.Instance
	for _, v := range m.remoteDataCentres(n, d, x) {
		r := highestRanked(m.live[v], n, remoteNeighbours, x)
		a = append(a, r[:min(1, len(r))]...)
		b = append(b, r[min(1, len(r)):]...)
		if len(a) == remoteNeighbours {
			return a
		}
	}
	a = append(a, b...)
	return a[:min(len(a), remoteNeighbours)]
}

// remoteDataCentres ranks the data centres other than d for the instance n by
// rendezvous hash. Those that dataCentreDown reports come last.
func (m *Membership) remoteDataCentres(n lavenderridge.InstanceID, d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) []lavenderridge.DataCentreID {
	type ranked struct {
		id    lavenderridge.DataCentreID
		down  bool
		score uint64
	}
	a := make([]ranked, 0, len(m.dataCentres))
	for _, v := range m.dataCentres {
		if v != d {
			a = append(a, ranked{id: v, down: m.dataCentreDown(v, x), score: pairScore(hash(n), hash(v))})
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

// dataCentreDown reports whether at least dataCentreDownThreshold instances of the
// data centre d are down.
func (m *Membership) dataCentreDown(d lavenderridge.DataCentreID, x func(lavenderridge.InstanceID) bool) bool {
	if x == nil {
		return false
	}
	c := 0
	for _, n := range m.live[d] {
		if x(n.instance.ID) {
			c++
		}
		if c == dataCentreDownThreshold {
			return true
		}
	}
	return false
}

// highestRanked returns up to k instances of a, ordered by their rendezvous hash
// for the instance n. It skips n itself and instances that are down.
func highestRanked(a []candidate, n lavenderridge.InstanceID, k int, x func(lavenderridge.InstanceID) bool) []*lavenderridge.Instance {
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

// pairScore combines two hashes into a rendezvous hash, so that each instance
// ranks the others in a different order. It is the last step of the SplitMix64
// generator.
func pairScore(a, b uint64) uint64 {
	h := a + bits.RotateLeft64(b, 32)
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
