package peer_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// startFleet starts n daemons in c data centres and waits until they are calm.
func startFleet(n, c int, seed uint64) *fleet {
	f := newFleet(n, c, seed)
	for _, v := range f.nodes {
		v.launch()
	}
	f.run(15 * time.Second)
	return f
}

// readers returns the nodes that read the source.
func (f *fleet) readers() []*node {
	var a []*node
	for _, n := range f.nodes {
		if slices.Contains(configservice.Readers(&f.list, nil, n.self.DataCentre), n.self.ID) {
			a = append(a, n)
		}
	}
	return a
}

// expectCatalogue fails the test t if a daemon that runs doesn't have the catalogue v.
func (f *fleet) expectCatalogue(t *testing.T, v lavenderridge.Version) {
	t.Helper()
	for _, n := range f.nodes {
		if n.proc == nil {
			continue
		}
		if h := n.proc.versions().Catalogue; h < v {
			t.Errorf("%s has catalogue %d in time; want %d", n.self.ID, h, v)
		}
	}
}

// TestLostReadersAreReplaced guards against changes that reach nobody in time because the
// daemons that read the source have lost power.
func TestLostReadersAreReplaced(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(24, 3, seed+1)
			defer f.close()
			for _, n := range f.readers() {
				n.kill()
			}
			f.run(50 * time.Millisecond)
			f.publishCatalogue(true)
			f.run(configservice.DefaultApplyWithin)
			f.expectCatalogue(t, 2)
		})
	}
}

// TestIsolatedDaemonReads guards against changes that are late at a daemon that is cut off
// from all others and reaches the source, whether it was a reader or not.
func TestIsolatedDaemonReads(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(24, 3, seed+1)
			defer f.close()
			f.mutex.Lock()
			for i := range f.nodes {
				f.cuts[linkKey(int(seed), i)] = true
			}
			f.mutex.Unlock()
			for v := range lavenderridge.Version(4) {
				f.publishCatalogue(true)
				f.run(configservice.DefaultApplyWithin)
				f.expectCatalogue(t, v+2)
			}
		})
	}
}
