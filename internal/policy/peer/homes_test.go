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
	homeSeeds = flag.Int("home-seeds", 400, "number of seeds of TestHomes")
	homeSteps = flag.Int("home-steps", 1500, "number of steps for each seed of TestHomes")
	findSeeds = flag.Int("home-find", 0, "number of seeds to search for a fault with each rule disabled")
)

// simulate runs the sequence of steps that the seed determines. It stops at the
// first fault and returns the world and the number of steps taken.
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

// TestHomes guards against a key that runs twice, a wrong answer, and the outcome
// NotRun for a key that has run. It simulates a fleet with crashes, pauses,
// partitions and changes of the configuration for a fixed range of seeds.
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
	t.Logf("%d runs, outcomes %v", runs, o)
	for _, k := range []string{"Done", "Unknown LostMemory", "Unknown NotActive", "Unknown NotHome", "Unknown KeyExpired", "NotRun Overloaded"} {
		if o[k] == 0 {
			t.Errorf("no outcome %q in any run; the test does not cover it", k)
		}
	}
}

// TestHomesRapid simulates the same fleet with choices by rapid, which shrinks a
// sequence that finds a fault.
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

// ruleSeeds lists for each rule a seed with which the simulation finds a fault if
// the rule is disabled.
var ruleSeeds = []struct {
	rule string
	seed uint64
}{
	{"acknowledgement", 2},
	{"every acknowledgement", 11},
	{"cleared when the membership changes", 4},
	{"activation before running", 0},
	{"ledger check", 6},
	{"ledger check of moved keys", 4},
	{"requested since adoption", 1280},
	{"complete records", 155},
	{"every intermediate membership", 1425},
	{"exchange with settled homes", 9},
	{"fence", 4},
	{"wait for dropped instances", 41},
	{"clock skew", 182},
	{"key lifetime", 19},
	{"keys without a time of issue", 27},
}

const ruleSeedSteps = 6000

// TestEachRuleIsNeeded guards against a simulation that would not notice a missing
// rule: with any rule disabled, the simulation must find a fault.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, v := range ruleSeeds {
		t.Run(v.rule, func(t *testing.T) {
			t.Parallel()
			if *findSeeds > 0 {
				searchSeeds(t, v.rule)
				return
			}
			w, i := simulate(peer.RulesWithout(v.rule), v.seed, ruleSeedSteps)
			if w.fault == "" {
				t.Fatalf("seed %d: no fault found with the rule %q disabled", v.seed, v.rule)
			}
			t.Logf("step %d: %s", i, w.fault)
		})
	}
}

// searchSeeds logs which of the first -home-find seeds finds a fault with the
// fewest steps when the rule is disabled. It stops after five faults.
func searchSeeds(t *testing.T, rule string) {
	n, first, step := 0, -1, 0
	b := time.Now()
	k := 0
	for ; k < *findSeeds && n < 5; k++ {
		if w, i := simulate(peer.RulesWithout(rule), uint64(k), ruleSeedSteps); w.fault != "" {
			if n++; first < 0 || i < step {
				first, step = k, i
			}
		}
	}
	t.Logf("%s: %d of %d seeds find a fault; fewest steps: seed %d at step %d (%s)", rule, n, k, first, step, time.Since(b).Round(time.Millisecond))
}
