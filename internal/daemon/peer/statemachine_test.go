package peer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
)

var testLogger = zap.NewNop()

// roundsAfterFaults is the number of anti-entropy rounds, a second each, within
// which the fleet has the highest versions after all faults have ended.
const roundsAfterFaults = 15

// action is one step of a session.
type action struct {
	Name  string
	Node  int
	Other int
	Wait  int
}

func (a action) String() string {
	return fmt.Sprintf("%s(%d,%d) %dms", a.Name, a.Node, a.Other, a.Wait)
}

var actionNames = []string{
	"publish", "publish", "publish bad", "publish list", "drop instance", "cross", "kill", "restart", "restart", "pause", "resume",
	"cut", "partition", "mend", "lossy", "lossless", "source down", "source up", "stale", "fresh", "slow", "fast", "herd", "wait",
}

func drawAction(t *rapid.T) action {
	return action{
		Name: rapid.SampledFrom(actionNames).Draw(t, "name"), Node: rapid.IntRange(0, 5).Draw(t, "node"),
		Other: rapid.IntRange(0, 5).Draw(t, "other"), Wait: rapid.SampledFrom([]int{0, 20, 300, 1000, 3000, 9000}).Draw(t, "wait"),
	}
}

func (f *fleet) do(a action) {
	n, o := f.nodes[a.Node%len(f.nodes)], f.nodes[a.Other%len(f.nodes)]
	switch a.Name {
	case "publish", "cross":
		f.publishCatalogue(true)
	case "publish bad":
		f.publishCatalogue(false)
	case "publish list":
		f.publishList(n.index, false)
	case "drop instance":
		f.publishList(n.index, true)
	case "kill":
		n.kill()
	case "restart":
		n.kill()
		n.launch()
	case "herd":
		for _, m := range f.nodes {
			m.kill()
		}
		for _, m := range f.nodes {
			m.launch()
		}
	case "pause":
		n.pause()
	case "resume":
		if d := n.unpause(); d > 3*time.Second && n.proc != nil && n.proc.isReady() {
			f.broken = fmt.Errorf("%s takes work at once after %s of pause", n.self.ID, d)
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch a.Name {
	case "cut":
		f.cuts[pair(n.index, o.index)] = true
	case "partition":
		for i := range f.nodes {
			for j := range f.nodes {
				if (i <= a.Node) != (j <= a.Node) {
					f.cuts[pair(i, j)] = true
				}
			}
		}
	case "mend":
		clear(f.cuts)
	case "lossy":
		f.lossy = 0.4
	case "lossless":
		f.lossy = 0
	case "slow":
		f.latency = slowLink
	case "fast":
		f.latency = fastLink
	case "source down", "source up":
		f.down = a.Name == "source down"
	case "stale":
		for _, d := range documents {
			n.stale[d] = lavenderridge.Version(len(f.published[d]))
		}
	case "fresh":
		clear(n.stale)
	}
	if a.Name != "wait" && a.Name != "restart" {
		f.faults++
	}
}

// session runs the actions on a new fleet and returns the first broken rule.
func session(t *testing.T, a []action, seed uint64) (f *fleet) {
	synctest.Test(t, func(*testing.T) {
		f = newFleet(6, 2, seed)
		for _, n := range f.nodes {
			n.launch()
		}
		f.run(3 * time.Second)
		for _, v := range a {
			if f.broken != nil {
				break
			}
			f.do(v)
			f.run(time.Duration(v.Wait) * time.Millisecond)
		}
		if f.broken == nil {
			f.heal()
			f.run(roundsAfterFaults * time.Second)
		}
		if f.broken == nil {
			f.broken = f.converged()
		}
		f.close()
	})
	return f
}

// TestStateMachine runs random sessions of faults against the oracle.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a := rapid.SliceOfN(rapid.Custom(drawAction), 5, 40).Draw(r, "actions")
		s := rapid.Uint64().Draw(r, "seed")
		if f := session(t, a, s); f.broken != nil {
			r.Fatalf("%v\nlast decisions: %q", f.broken, f.log[max(0, len(f.log)-30):])
		}
	})
}
