package configservice

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderridge/lavenderridge"
)

// readersPerDataCentre is the number of instances of each data centre that watch
// the source.
const readersPerDataCentre = 2

// Readers returns the instances of the data centre d that watch the source: those that
// rank first. The catalogue c is the accepted one or nil.
func Readers(l *lavenderridge.InstanceList, c *lavenderridge.Catalogue, d lavenderridge.DataCentreID) []lavenderridge.InstanceID {
	a := rankReaders(l, c, d)
	return a[:min(len(a), readersPerDataCentre)]
}

// ReaderRank returns the rank of the instance n among those of the data centre d, from
// zero, or a negative number. The readers come first, and then those that step in first.
func ReaderRank(l *lavenderridge.InstanceList, c *lavenderridge.Catalogue, d lavenderridge.DataCentreID, n lavenderridge.InstanceID) int {
	return slices.Index(rankReaders(l, c, d), n)
}

// IsReader reports whether an instance with the rank r is a reader.
func IsReader(r int) bool {
	return r >= 0 && r < readersPerDataCentre
}

// rankReaders returns the live instances of the data centre d, in the order of the
// hashes of their IDs (rendezvous hashing). Daemons with different lists may rank
// differently, which only causes additional calls. Instances of a service that the
// catalogue c doesn't have are left out: another writer may have listed them, and then no
// daemon runs beside them. If that leaves nobody, all count.
func rankReaders(l *lavenderridge.InstanceList, c *lavenderridge.Catalogue, d lavenderridge.DataCentreID) []lavenderridge.InstanceID {
	var a, k []lavenderridge.InstanceID
	for i := range l.Instances {
		n := &l.Instances[i]
		if n.DataCentre != d || n.State != lavenderridge.InstanceLive {
			continue
		}
		a = append(a, n.ID)
		if c != nil && hasService(c, n.Service) {
			k = append(k, n.ID)
		}
	}
	if len(k) > 0 {
		a = k
	}
	slices.SortFunc(a, func(x, y lavenderridge.InstanceID) int {
		p, q := xxhash.Sum64String(string(x)), xxhash.Sum64String(string(y))
		if p == q {
			return 0
		}
		if p > q {
			return -1
		}
		return 1
	})
	return a
}

func hasService(c *lavenderridge.Catalogue, s lavenderridge.ServiceID) bool {
	return slices.ContainsFunc(c.Services, func(v lavenderridge.Service) bool { return v.ID == s })
}
