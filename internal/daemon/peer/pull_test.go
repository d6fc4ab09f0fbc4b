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
	for _, d := range []time.Duration{1200 * time.Millisecond, 4 * time.Second} {
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
