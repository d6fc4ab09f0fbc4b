package peer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A daemon that starts must wait for a version that another daemon reported in a call
// of its own, while the neighbours that reply have an older one.
func TestStartWaitsForVersionOfCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 1, 1)
		defer f.close()
		for _, n := range f.nodes {
			n.versionLimits[lavenderridge.DocumentCatalogue] = 1
			n.launch()
		}
		f.run(5 * time.Second)
		n := f.nodes[0]
		for _, a := range []action{{Name: "publish"}, {Name: "cut link", Node: 0, Other: 2}, {Name: "restart", Node: 0}} {
			f.apply(a)
		}
		f.run(100 * time.Millisecond)
		s := f.nodes[2].proc.sender()
		s.Stamps.Catalogue.Version = 2
		if _, e := n.proc.gossiper.Exchange(context.Background(), &lavenderridge.Exchange{Sender: s}); e != nil {
			t.Fatal(e)
		}
		// All rounds of queries end within this time.
		f.run(4 * time.Second)
		if n.proc.isReady() {
			t.Errorf("ready with versions %v; n2 has reported catalogue 2", n.proc.versions())
		}
		f.apply(action{Name: "source current", Node: 0})
		f.run(3 * time.Second)
		if !n.proc.isReady() || n.proc.versions().Catalogue != 2 {
			t.Errorf("ready %t with versions %v; want catalogue 2", n.proc.isReady(), n.proc.versions())
		}
	})
}
