package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// TestSuspectsAfterLostReplies guards against a suspect that a daemon counts as known to
// another one, because it was in a reply, although the reply was lost: for some time no
// exchange in either direction would contain it, and the request could crash the other's
// backend server.
func TestSuspectsAfterLostReplies(t *testing.T) {
	const bound = 6 * time.Second // until a daemon that is in contact again has caught up
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1, 1)
		defer f.close()
		for _, n := range f.nodes {
			n.launch()
		}
		f.run(5 * time.Second)
		f.mutex.Lock()
		f.oneWay[[2]int{0, 1}] = true
		f.mutex.Unlock()
		r := &lavenderridge.Request{ID: "r", Service: "roster", Path: "/crash"}
		f.nodes[0].proc.suspects.Crashed(r, true, time.Now())
		f.run(10 * time.Second)
		f.mutex.Lock()
		f.oneWay[[2]int{0, 1}] = false
		f.mutex.Unlock()
		f.run(bound)
		if a := f.nodes[1].proc.suspects.Suspects(time.Now()); len(a) != 1 {
			t.Errorf("%d suspects at n1 %s after replies arrive again; want 1", len(a), bound)
		}
	})
}
