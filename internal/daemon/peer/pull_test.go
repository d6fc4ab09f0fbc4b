package peer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Another list is always newer, and the pulls of lists are slow or fail.
func TestCatalogueIsPulledWhileListsChange(t *testing.T) {
	for _, d := range []time.Duration{1200 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprintf("pulls of lists take %s", d), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPullWhileListsChange(t, d) })
		})
	}
}

// testPullWhileListsChange publishes lists every 300 ms to a daemon whose neighbour
// lags at the source. Pulls of lists take the time d.
func testPullWhileListsChange(t *testing.T, d time.Duration) {
	const interval = 300 * time.Millisecond
	const bound = 2 * time.Second // of the 2.5 s in which a change must be in force everywhere
	f := newFleet(2, 1, 1)
	f.pullDelays[lavenderridge.DocumentInstanceList] = d
	defer f.close()
	for _, n := range f.nodes {
		n.launch()
	}
	f.run(5 * time.Second)
	for _, m := range documents {
		f.nodes[0].versionLimits[m] = 1
	}
	for range 40 {
		f.publishList(-1, false)
		f.publishCatalogue(true)
		v := lavenderridge.Version(len(f.published[lavenderridge.DocumentCatalogue]))
		for b := time.Now(); f.nodes[0].proc.versions().Catalogue < v; f.run(interval) {
			if time.Since(b) > bound {
				t.Fatalf("catalogue %d is in force after %s; want %d", f.nodes[0].proc.versions().Catalogue, time.Since(b), v)
			}
			f.publishList(-1, false)
		}
	}
}

// startLaggingNode returns a running fleet of four, the first of which reads no further
// catalogue at the source.
func startLaggingNode() *fleet {
	f := newFleet(4, 1, 1)
	for _, n := range f.nodes {
		n.launch()
	}
	f.run(5 * time.Second)
	f.nodes[0].versionLimits[lavenderridge.DocumentCatalogue] = 1
	return f
}

// Two of three neighbours don't reply to pulls in time.
func TestSlowNeighboursDelayNoCatalogue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 2 * time.Second // of the 2.5 s in which a change must be in force everywhere
		f := startLaggingNode()
		defer f.close()
		for i := range 30 {
			f.nodes[0].pullDelays = map[int]time.Duration{1: 4 * time.Second, 2: 4 * time.Second, 3: 4 * time.Second}
			delete(f.nodes[0].pullDelays, 1+i%3)
			f.publishCatalogue(true)
			v := lavenderridge.Version(len(f.published[lavenderridge.DocumentCatalogue]))
			f.run(bound)
			if h := f.nodes[0].proc.versions().Catalogue; h < v {
				t.Fatalf("catalogue %d is in force after %s; want %d", h, bound, v)
			}
			f.run(3 * time.Second)
		}
	})
}

// Every pull takes two seconds, as on a crowded link.
func TestSlowPullEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 2500 * time.Millisecond
		f := startLaggingNode()
		defer f.close()
		f.nodes[0].pullDelays = map[int]time.Duration{1: 2 * time.Second, 2: 2 * time.Second, 3: 2 * time.Second}
		f.publishCatalogue(true)
		f.run(bound)
		if h := f.nodes[0].proc.versions().Catalogue; h != 2 {
			t.Errorf("catalogue %d is in force after %s; want 2", h, bound)
		}
	})
}
