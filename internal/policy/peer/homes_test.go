package peer_test

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

var (
	homeSeeds = flag.Int("home-seeds", 400, "number of sequences of TestHomes")
	homeSteps = flag.Int("home-steps", 1500, "steps of each sequence of TestHomes")
	findSeeds = flag.Int("home-find", 0, "search that many seeds for each rule switched off")
)

// simulate runs one sequence and returns the fault that was found, or "".
func simulate(r peer.Rules, seed uint64, steps int) (*world, int) {
	g := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(r, g.IntN)
	for i := range steps {
		if w.step(); w.fault != "" {
			return w, i
		}
	}
	return w, steps
}

// TestHomes runs fixed seeds with every rule in force.
func TestHomes(t *testing.T) {
	var m sync.Mutex
	o := map[string]int{}
	runs := 0
	t.Run("seeds", func(t *testing.T) {
		const workers = 8
		for k := range workers {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				for s := k; s < *homeSeeds; s += workers {
					w, i := simulate(peer.Rules{}, uint64(s), *homeSteps)
					if w.fault != "" {
						t.Fatalf("seed %d, step %d: %s", s, i, w.fault)
					}
					m.Lock()
					for k, v := range w.outcomes {
						o[k] += v
					}
					runs += w.runs
					m.Unlock()
				}
			})
		}
	})
	t.Logf("%d runs, answers %v", runs, o)
	for _, k := range []string{"Done", "Unknown LostMemory", "Unknown NotActive", "Unknown NotHome", "Unknown KeyExpired", "NotRun Overloaded"} {
		if o[k] == 0 {
			t.Errorf("no answer %q; the test is too weak", k)
		}
	}
}

// TestHomesRapid lets rapid choose, so that a fault is reported with few steps.
func TestHomesRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(peer.Rules{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			if w.step(); w.fault != "" {
				t.Fatal(w.fault)
			}
		}
	})
}

// rulesOff gives for each rule a seed that fails without it.
var rulesOff = []struct {
	rule string
	seed uint64
}{
	{"acknowledgement", 2},
	{"every acknowledgement", 11},
	{"cleared when the membership changes", 4},
	{"proof before running", 0},
	{"memory", 6},
	{"memory of moved keys", 4},
	{"asked since adoption", 1280},
	{"whole records", 155},
	{"every version since", 1425},
	{"exchange with settled homes", 9},
	{"fence", 4},
	{"wait for dropped instances", 41},
	{"clock skew", 182},
	{"key lifetime", 19},
	{"keys without a time of issue", 27},
}

const rulesOffSteps = 6000

// TestEachRuleIsNeeded switches off one rule at a time and wants a fault.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, v := range rulesOff {
		t.Run(v.rule, func(t *testing.T) {
			t.Parallel()
			if *findSeeds > 0 {
				find(t, v.rule)
				return
			}
			w, i := simulate(peer.RulesWithout(v.rule), v.seed, rulesOffSteps)
			if w.fault == "" {
				t.Fatalf("seed %d finds no fault without the rule %q", v.seed, v.rule)
			}
			t.Logf("step %d: %s", i, w.fault)
		})
	}
}

func find(t *testing.T, rule string) {
	n, first, step := 0, -1, 0
	b := time.Now()
	k := 0
	for ; k < *findSeeds && n < 5; k++ {
		if w, i := simulate(peer.RulesWithout(rule), uint64(k), rulesOffSteps); w.fault != "" {
			if n++; first < 0 || i < step {
				first, step = k, i
			}
		}
	}
	t.Logf("%s: %d of %d seeds fail, one is %d at step %d (%s)", rule, n, k, first, step, time.Since(b).Round(time.Millisecond))
}
