package configservice

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderridge/lavenderridge"
)

// readersPerDataCentre is the number of instances of each data centre that watch
// the source.
const readersPerDataCentre = 2

// Readers returns the instances of the data centre d that watch the source:
// the live ones with the highest hashes of their IDs (rendezvous hashing).
// Daemons with different lists may select different readers, which only causes
// additional calls.
func Readers(l *lavenderridge.InstanceList, d lavenderridge.DataCentreID) []lavenderridge.InstanceID {
	var a []lavenderridge.InstanceID
	for i := range l.Instances {
		if n := &l.Instances[i]; n.DataCentre == d && n.State == lavenderridge.InstanceLive {
			a = append(a, n.ID)
		}
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
	return a[:min(len(a), readersPerDataCentre)]
}
