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

// roundsAfterFaults is the number of anti-entropy rounds, of one second each, within
// which the fleet must converge after all faults have ended.
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
	"publish", "publish", "publish invalid", "publish list", "drop instance", "publish again", "kill", "restart", "restart", "pause", "resume",
	"cut link", "partition", "restore links", "start call faults", "end call faults", "source down", "source up", "source lags", "source current", "slow links", "fast links", "restart all", "wait",
}

func drawAction(t *rapid.T) action {
	return action{
		Name: rapid.SampledFrom(actionNames).Draw(t, "name"), Node: rapid.IntRange(0, 5).Draw(t, "node"),
		Other: rapid.IntRange(0, 5).Draw(t, "other"), Wait: rapid.SampledFrom([]int{0, 20, 300, 1000, 3000, 9000}).Draw(t, "wait"),
	}
}

// apply carries out one action.
func (f *fleet) apply(a action) {
	n, o := f.nodes[a.Node%len(f.nodes)], f.nodes[a.Other%len(f.nodes)]
	switch a.Name {
	case "publish", "publish again":
		f.publishCatalogue(true)
	case "publish invalid":
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
	case "restart all":
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
			f.violation = fmt.Errorf("%s: ready immediately after a pause of %s", n.self.ID, d)
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch a.Name {
	case "cut link":
		f.cuts[linkKey(n.index, o.index)] = true
	case "partition":
		for i := range f.nodes {
			for j := range f.nodes {
				if (i <= a.Node) != (j <= a.Node) {
					f.cuts[linkKey(i, j)] = true
				}
			}
		}
	case "restore links":
		clear(f.cuts)
	case "start call faults":
		f.faultProbability = 0.4
	case "end call faults":
		f.faultProbability = 0
	case "slow links":
		f.latency = slowLink
	case "fast links":
		f.latency = fastLink
	case "source down", "source up":
		f.sourceDown = a.Name == "source down"
	case "source lags":
		for _, d := range documents {
			n.versionLimits[d] = lavenderridge.Version(len(f.published[d]))
		}
	case "source current":
		clear(n.versionLimits)
	}
	if a.Name != "wait" && a.Name != "restart" {
		f.faults++
	}
}

// session runs the actions on a new fleet, ends all faults and returns the fleet with
// the first violation.
func session(t *testing.T, a []action, seed uint64) (f *fleet) {
	synctest.Test(t, func(*testing.T) {
		f = newFleet(6, 2, seed)
		for _, n := range f.nodes {
			n.launch()
		}
		f.run(3 * time.Second)
		for _, v := range a {
			if f.violation != nil {
				break
			}
			f.apply(v)
			f.run(time.Duration(v.Wait) * time.Millisecond)
		}
		if f.violation == nil {
			f.heal()
			f.run(roundsAfterFaults * time.Second)
		}
		if f.violation == nil {
			f.violation = f.converged()
		}
		f.close()
	})
	return f
}

// TestStateMachine checks random sequences of faults against the oracle.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a := rapid.SliceOfN(rapid.Custom(drawAction), 5, 40).Draw(r, "actions")
		s := rapid.Uint64().Draw(r, "seed")
		if f := session(t, a, s); f.violation != nil {
			r.Fatalf("%v\nlast decisions: %q", f.violation, f.log[max(0, len(f.log)-30):])
		}
	})
}
