package configservice

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderridge/lavenderridge"
)

// askFanOut bounds the daemons that ask the same one while no call fails.
const askFanOut = 32

// AskSources decides which daemon another one asks for a proof of its catalogue, and for
// word of who follows the source. It is not safe for concurrent use.
type AskSources struct {
	instance   lavenderridge.InstanceID
	dataCentre lavenderridge.DataCentreID

	list      *lavenderridge.InstanceList
	catalogue *lavenderridge.Catalogue
	sources   []lavenderridge.InstanceID
	isReader  bool
	// next is the index in sources of the daemon to ask next.
	next int
}

// NewAskSources returns the sources of the daemon of the instance n in the data centre d.
func NewAskSources(n lavenderridge.InstanceID, d lavenderridge.DataCentreID) *AskSources {
	return &AskSources{instance: n, dataCentre: d}
}

// Update makes the sources those of the instance list l and the catalogue c. It reports
// whether the daemon is a reader of its data centre.
func (s *AskSources) Update(l *lavenderridge.InstanceList, c *lavenderridge.Catalogue) bool {
	if s.list == l && s.catalogue == c {
		return s.isReader
	}
	s.list, s.catalogue = l, c
	a := rankReaders(l, c, s.dataCentre)
	k := slices.Index(a, s.instance)
	s.isReader = k >= 0 && k < readersPerDataCentre
	s.sources = append(s.parents(a, k), s.remoteReaders()...)
	s.sources = slices.DeleteFunc(s.sources, func(n lavenderridge.InstanceID) bool { return n == s.instance })
	s.next = 0
	return s.isReader
}

// parents returns the daemons of the own data centre to ask, by the ranking a in which this
// daemon has the index k. The readers answer the first daemons in it; those behind ask
// daemons before them, so that nobody answers more than askFanOut. The standbys, which
// step in for the readers, are asked after them.
func (s *AskSources) parents(a []lavenderridge.InstanceID, k int) []lavenderridge.InstanceID {
	r := slices.Clone(a[:min(len(a), readersPerDataCentre)])
	if k%2 == 1 {
		slices.Reverse(r)
	}
	if g := k - readersPerDataCentre*(1+askFanOut); g >= 0 {
		r = append([]lavenderridge.InstanceID{a[readersPerDataCentre+g/askFanOut]}, r...)
	}
	return append(r, a[min(len(a), readersPerDataCentre):min(len(a), readersPerDataCentre+standbysPerDataCentre)]...)
}

// remoteReaders returns the readers of the other data centres, from a different one on for
// each daemon.
func (s *AskSources) remoteReaders() []lavenderridge.InstanceID {
	d := make(map[lavenderridge.DataCentreID]bool)
	for i := range s.list.Instances {
		d[s.list.Instances[i].DataCentre] = true
	}
	var r []lavenderridge.InstanceID
	for v := range d {
		if v != s.dataCentre {
			r = append(r, Readers(s.list, s.catalogue, v)...)
		}
	}
	slices.Sort(r)
	if len(r) > 0 {
		i := int(xxhash.Sum64String(string(s.instance)) % uint64(len(r)))
		r = slices.Concat(r[i:], r[:i])
	}
	return r
}

// Next returns the instance to ask, or "" if there is none.
func (s *AskSources) Next() lavenderridge.InstanceID {
	if len(s.sources) == 0 {
		return ""
	}
	return s.sources[s.next%len(s.sources)]
}

// Skip makes Next return another instance, because the last one gave nothing fresh.
func (s *AskSources) Skip() {
	s.next++
}
