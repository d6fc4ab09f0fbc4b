package peer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

const (
	revokeWithin = 5 * time.Second
	// judgeInterval is the time between two moments at which every daemon gets a request.
	judgeInterval = 20 * time.Millisecond
)

// bubbleStart is before the time of any test bubble.
var bubbleStart = time.Unix(0, 0)

// steadyClock is a stand-in that goes on during the pauses of a node, as the clock of a
// machine does that counts the time in which it is suspended, unless the fleet's clocks
// stop.
type steadyClock struct{ node *node }

func (k steadyClock) Elapsed() time.Duration {
	k.node.fleet.mutex.Lock()
	defer k.node.fleet.mutex.Unlock()
	switch {
	case !k.node.fleet.stoppingClock:
		return time.Since(bubbleStart)
	case k.node.resumed != nil:
		return k.node.pausedAt.Sub(bubbleStart) - k.node.suspended
	}
	return time.Since(bubbleStart) - k.node.suspended
}

// keyed is a request with a key that every catalogue takes away and replaces.
var keyed = &lavenderridge.Request{CustomerKey: lavenderridge.NewCustomerKey([]byte("secret"))}

// heldRequest is a request that was sent and whose key was found in a catalogue, and that
// its daemon has not checked yet.
type heldRequest struct {
	version lavenderridge.Version
	sent    time.Time
}

// revocationJudge sends a request with a key to every daemon at each moment, and compares
// what the daemon does with the moments of the acknowledgements. It knows nothing of
// proofs.
type revocationJudge struct {
	fleet *fleet
	// acknowledged holds the time of the acknowledgement of each version.
	acknowledged []time.Time
	held         map[*process]heldRequest
	random       *rand.Rand

	// ages are those of the catalogue for the admitted requests that were not held up.
	ages    []time.Duration
	refused int
	// readerCalls and otherCalls count the calls for the catalogue of the readers and of
	// the other daemons.
	readerCalls, otherCalls int
}

// publish publishes a catalogue without the key of the one before.
func (j *revocationJudge) publish() {
	j.fleet.publishCatalogue(true)
	j.acknowledged = append(j.acknowledged, time.Now())
}

// latest returns the latest version that was acknowledged at the time t or before.
func (j *revocationJudge) latest(t time.Time) lavenderridge.Version {
	n, _ := slices.BinarySearchFunc(j.acknowledged, t, func(a, b time.Time) int {
		if a.After(b) {
			return 1
		}
		return -1
	})
	return lavenderridge.Version(n)
}

// run lets the time d pass and judges every daemon.
func (j *revocationJudge) run(d time.Duration) {
	for t := time.Now(); time.Since(t) < d && j.fleet.violation == nil; {
		time.Sleep(judgeInterval)
		synctest.Wait()
		for _, n := range j.fleet.nodes {
			if p := n.proc; p != nil && n.resumed == nil && p.store.Snapshot() != nil && j.fleet.violation == nil {
				j.fleet.violation = j.judge(p)
			}
		}
	}
}

// judge sends a request to the process p. It also lets p go on with one that was sent
// before and then held up, for example by a pause.
func (j *revocationJudge) judge(p *process) error {
	v, t := p.store.Snapshot().Versions().Catalogue, time.Now()
	q := heldRequest{version: v, sent: t}
	a, o, e := j.judgeRequest(p, q)
	if e != nil {
		return e
	}
	if o {
		j.ages = append(j.ages, a)
	} else {
		j.refused++
	}
	h, o := j.held[p]
	if !o || j.random.IntN(50) == 0 {
		j.held[p] = q
	}
	if o {
		_, _, e = j.judgeRequest(p, h)
	}
	return e
}

// judgeRequest checks what p does with the request q now. It returns the age of the catalogue
// and whether q is admitted.
func (j *revocationJudge) judgeRequest(p *process, q heldRequest) (time.Duration, bool, error) {
	n, now := p.node.self.ID, time.Now()
	a, o := p.proofs.CatalogueAge(q.version)
	if v := j.latest(now.Add(-a)); o && v > q.version {
		return a, o, fmt.Errorf("%s: catalogue %d is said to be at most %s behind, but %d was acknowledged before that", n, q.version, a, v)
	}
	if configservice.NewFreshnessLimit(j.fleet.revocation, p.proofs).Check(keyed, q.version) != nil {
		return a, false, nil
	}
	if v := j.latest(q.sent.Add(-revokeWithin - 1)); v > q.version {
		return a, true, fmt.Errorf("%s: a request that was sent later than %s after the acknowledgement of %d ran with catalogue %d", n, revokeWithin, v, q.version)
	}
	return a, true, nil
}

// The faults that a session draws from.
var revocationFaults = []string{
	"publish", "publish", "publish", "kill", "restart", "restart all", "suspend", "suspend", "resume", "cut", "cut one way", "cut off", "cut one off", "restore",
	"source down", "source up", "source slow", "source late", "source losses", "source good", "call faults", "no call faults",
}

// fault carries out a fault that is drawn at random.
func (j *revocationJudge) fault() {
	f := j.fleet
	n, o := f.nodes[j.random.IntN(len(f.nodes))], f.nodes[j.random.IntN(len(f.nodes))]
	k := revocationFaults[j.random.IntN(len(revocationFaults))]
	switch k {
	case "publish":
		j.publish()
	case "suspend":
		n.pause()
	case "resume":
		for _, m := range f.nodes {
			m.unpause()
		}
	case "kill", "restart", "restart all":
		f.apply(action{Name: k, Node: n.index})
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch k {
	case "cut":
		f.cuts[linkKey(n.index, o.index)] = true
	case "cut one way":
		f.oneWay[[2]int{n.index, o.index}] = true
	case "cut off", "cut one off":
		for i := range f.nodes {
			f.oneWay[[2]int{n.index, i}], f.oneWay[[2]int{i, n.index}] = true, k == "cut off"
		}
	case "restore":
		clear(f.cuts)
		clear(f.oneWay)
	case "source down", "source up":
		f.sourceDown = k == "source down"
	case "source slow":
		f.sourceSlow = time.Duration(j.random.Int64N(int64(3 * time.Second)))
	case "source late":
		f.sourceLate = time.Duration(j.random.Int64N(int64(6 * time.Second)))
	case "source losses":
		f.sourceLoss = 0.5
	case "source good":
		f.sourceSlow, f.sourceLate, f.sourceLoss = 0, 0, 0
	case "call faults":
		f.faultProbability = 0.4
	case "no call faults":
		f.faultProbability = 0
	}
}

// restart starts a daemon that is down.
func (j *revocationJudge) restart() {
	for _, n := range j.fleet.nodes {
		if n.proc == nil {
			n.launch()
			return
		}
	}
}

// playRevocation plays n daemons in c data centres for the time d and returns the judge.
// Unless k is calm, faults are drawn with the seed.
func playRevocation(t *testing.T, n, c int, d time.Duration, seed uint64, k string) *revocationJudge {
	j := &revocationJudge{random: rand.New(rand.NewPCG(seed, 2)), held: map[*process]heldRequest{}}
	synctest.Test(t, func(*testing.T) {
		f := newFleet(n, c, seed)
		f.revocation, j.fleet = configservice.NewRevocationPlan(revokeWithin), f
		f.stoppingClock = k == "stopping-clock"
		j.acknowledged = []time.Time{time.Now()}
		for _, m := range f.nodes {
			m.launch()
		}
		j.run(4 * time.Second)
		j.refused, j.ages = 0, nil
		clear(f.catalogueReads)
		for b := time.Now(); time.Since(b) < d && f.violation == nil; {
			if k == "calm" {
				j.publish()
				j.run(7 * time.Second)
				continue
			}
			j.fault()
			j.restart()
			j.run(time.Duration(j.random.Int64N(int64(2 * time.Second))))
		}
		j.countCalls()
		f.close()
	})
	return j
}

// countCalls counts the calls to the source.
func (j *revocationJudge) countCalls() {
	r := map[lavenderridge.InstanceID]bool{}
	for i := range j.fleet.nodes {
		for _, n := range configservice.Readers(&j.fleet.list, nil, j.fleet.nodes[i].self.DataCentre) {
			r[n] = true
		}
	}
	j.fleet.mutex.Lock()
	defer j.fleet.mutex.Unlock()
	for n, v := range j.fleet.catalogueReads {
		if r[n] {
			j.readerCalls += v
		} else {
			j.otherCalls += v
		}
	}
}

// TestRevocation guards against requests that run though their key was taken away more than
// 5 s before they were sent: at a daemon that is cut off or was suspended, one that counts
// an answer as newer than it is, or one that has a proof of a catalogue that it lacks. Also
// against daemons that refuse requests in calm, or that each call the source.
func TestRevocation(t *testing.T) {
	datadriven.RunTest(t, "testdata/revocation", func(t *testing.T, d *datadriven.TestData) string {
		var n, c, seeds, seconds int
		d.ScanArgs(t, "daemons", &n)
		d.ScanArgs(t, "datacentres", &c)
		d.ScanArgs(t, "seconds", &seconds)
		d.ScanArgs(t, "seeds", &seeds)
		r := "no request runs after its key was taken away for 5s\n"
		var admitted, refused, others int
		for s := range seeds {
			j := playRevocation(t, n, c, time.Duration(seconds)*time.Second, uint64(s), d.Cmd)
			if j.fleet.violation != nil {
				r = fmt.Sprintf("seed %d: %v\n", s, j.fleet.violation)
			}
			admitted, refused = admitted+len(j.ages), refused+j.refused
			others += j.otherCalls
			slices.Sort(j.ages)
			if k := len(j.ages); k > 0 {
				t.Logf("%s, %d daemons, seed %d: %d admitted, %d refused; age of the catalogue: half below %s, 99 in 100 below %s, at most %s; calls for it: %d by readers, %d by others",
					d.Cmd, n, s, k, j.refused, j.ages[k/2], j.ages[k*99/100], j.ages[k-1], j.readerCalls, j.otherCalls)
			}
		}
		if d.Cmd == "stopping-clock" {
			return fmt.Sprintf("found: %t\n", strings.HasPrefix(r, "seed"))
		}
		if d.Cmd == "calm" {
			return r + fmt.Sprintf("some admitted: %t, refused: %d, calls of daemons that are no readers: %d\n", admitted > 0, refused, others)
		}
		// Both must happen, or the session shows nothing.
		return r + fmt.Sprintf("some admitted: %t, some refused: %t\n", admitted > 0, refused > 0)
	})
}
