package configservice_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/standin/factsource"
)

// Bounds of the users' rules and page.
const (
	configApply = 2 * time.Second
	maxStretch  = 5 * time.Second
	// rewriteTime is how long after the source's return what was lost is written again,
	// and expiryTime when the entries of backend servers that left expire.
	rewriteTime = 2 * time.Second
	expiryTime  = 4500 * time.Millisecond
	// maxCopyAge is the age of the oldest copy to which the source goes back.
	maxCopyAge = 8 * time.Second
)

// returnAction is one step of a random session.
type returnAction struct {
	kind   string
	a, b   int
	length time.Duration
}

func drawReturnAction(r *rapid.T) returnAction {
	return returnAction{
		kind: rapid.SampledFrom([]string{
			"add", "add", "leave", "remove", "remove", "replace", "catalogue", "catalogue", "evacuate", "copy", "copy",
			"return", "return", "cut source", "cut peers", "cut all", "freeze", "heal", "heal", "restart", "advance", "advance", "settle",
		}).Draw(r, "kind"),
		a: rapid.IntRange(0, 8).Draw(r, "a"), b: rapid.IntRange(0, 5).Draw(r, "b"),
		length: time.Duration(rapid.IntRange(1, 40).Draw(r, "length")) * gossipInterval,
	}
}

// removal is when a run of a backend server left, or began to leave, by the source.
type removal struct {
	era      lavenderridge.Era
	revision lavenderridge.Revision
}

// pendingWrite is a write of a key that is due at a time.
type pendingWrite struct {
	key string
	due time.Time
}

// returnSession is a fleet with a source whose writers write again what a return lost. It
// judges what the daemons use.
type returnSession struct {
	*returnFleet
	random   *rand.Rand
	world    map[string]string // what the writers want the source to hold
	held     map[string]string // what it holds
	copied   map[string]string
	copiedAt time.Time
	pending  []pendingWrite
	up       time.Time
	era      lavenderridge.Era
	starts   int
	removals map[string]removal // by run
	// disturbed is the time of the last disturbance, and written that of the last write.
	disturbed, written time.Time
	versions           map[*returnDaemon]lavenderridge.Versions
	seen               map[*returnDaemon]map[string]bool // runs used
	gone               map[*returnDaemon]map[string]bool // runs known to have left
	violation          error
	// replaced is true once a version of the catalogue has been written with other content.
	replaced bool
}

func (s *returnSession) fail(f string, a ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(f, a...)
	}
}

// write makes the source hold what the writers want under the key k.
func (s *returnSession) write(k string) {
	w, o := s.world[k]
	if h, j := s.held[k]; o == j && w == h {
		return
	}
	s.written = time.Now()
	b := runText(s.held[k])
	var n lavenderridge.Revision
	if o {
		n = s.put(k + " " + w)
		s.held[k] = w
	} else {
		n = s.source.Delete(lavenderridge.FactKey(k))
		delete(s.held, k)
	}
	if b == "" || runText(w) == b && !strings.Contains(w, "leaving") {
		return
	}
	if _, o := s.removals[b]; !o {
		s.removals[b] = removal{era: s.era, revision: n}
	}
}

// change makes the writers want w under the key k, or nothing if w is empty.
func (s *returnSession) change(k, w string) {
	s.world[k] = w
	if w == "" {
		delete(s.world, k)
	}
	if time.Now().Before(s.up) {
		s.pending = append(s.pending, pendingWrite{key: k, due: s.up})
		return
	}
	s.write(k)
}

// goBack makes the source return to the latest copy after the time d. What was lost is
// written again after that.
func (s *returnSession) goBack(d time.Duration) {
	if s.copied == nil || time.Since(s.copiedAt) > maxCopyAge || time.Now().Before(s.up) {
		return
	}
	s.source.SetDown(true)
	s.source.Return()
	s.era++
	s.held = maps.Clone(s.copied)
	s.up = time.Now().Add(d)
	s.disturb()
	if s.held["catalogue"] != s.world["catalogue"] && s.random.IntN(2) == 0 {
		f := strings.Fields(s.world["catalogue"])
		s.starts++
		s.world["catalogue"] = fmt.Sprintf("catalogue %s y%d", f[1], s.starts)
		s.replaced = true
	}
	for _, k := range slices.Sorted(maps.Keys(s.held)) {
		if s.world[k] == "" {
			s.pending = append(s.pending, pendingWrite{key: k, due: s.up.Add(time.Duration(s.random.Int64N(int64(expiryTime))))})
		}
	}
	for _, k := range slices.Sorted(maps.Keys(s.world)) {
		if s.held[k] != s.world[k] {
			s.pending = append(s.pending, pendingWrite{key: k, due: s.up.Add(time.Duration(s.random.Int64N(int64(rewriteTime))))})
		}
	}
}

// step does what is due and judges what the daemons use.
func (s *returnSession) step() {
	t := time.Now()
	if !s.up.IsZero() && !t.Before(s.up) {
		s.source.SetDown(false)
		a := s.pending
		s.pending = nil
		for _, p := range a {
			if t.Before(p.due) {
				s.pending = append(s.pending, p)
			} else {
				s.write(p.key)
			}
		}
	}
	for _, d := range s.daemons {
		s.judge(d)
	}
	if time.Since(s.disturbed) > configApply+maxStretch && time.Since(s.written) > configApply && len(s.pending) == 0 {
		s.judgeAgreement()
	}
}

// judge checks that the daemon d never goes back, and that it uses no run that it knows to
// have left.
func (s *returnSession) judge(d *returnDaemon) {
	n := d.store.Snapshot()
	if n == nil {
		return
	}
	v := n.Versions()
	if !v.Covers(s.versions[d]) {
		s.fail("%s goes back from %v to %v", d.id, s.versions[d], v)
	}
	s.versions[d] = v
	if s.seen[d] == nil {
		s.seen[d], s.gone[d] = map[string]bool{}, map[string]bool{}
	}
	u := map[string]bool{}
	for _, i := range n.List.Instances {
		if k := string(i.Backend); i.State == lavenderridge.InstanceLive {
			u[k], s.seen[d][k] = true, true
			if s.gone[d][k] {
				s.fail("%s uses %s, which it knows to have left by %v, in list %s from %s", d.id, k, s.removals[k], policy.FormatListVersion(v.InstanceList), d.store.Acceptance(lavenderridge.DocumentInstanceList).Origin)
			}
		}
	}
	for k, m := range s.removals {
		e := policy.ListEra(v.InstanceList)
		if (e == m.era || e == 0 && m.era == 1) && policy.ListNumber(v.InstanceList) >= 2*lavenderridge.Version(m.revision) && s.seen[d][k] && !u[k] {
			s.gone[d][k] = true
		}
	}
}

// judgeAgreement checks that daemons in touch use what the source holds.
func (s *returnSession) judgeAgreement() {
	w := s.want()
	for _, d := range s.daemons {
		if d.cutPeers.Load() || d.frozen.Load() || s.replaced && d.cutSource.Load() {
			continue // not in touch; only the source decides between two contents
		}
		if g := d.view(true); g != w {
			s.fail("%s uses %q %s after the last disturbance, want %q", d.id, g, time.Since(s.disturbed), w)
		}
	}
}

// want returns the view of a daemon that uses what the source holds.
func (s *returnSession) want() string {
	var a, z []string
	c := ""
	for k, w := range s.world {
		f := strings.Fields(w)
		switch f[0] {
		case "catalogue":
			c = f[1] + " " + f[2]
		case "evacuated":
			z = append(z, "evacuated:"+f[1]+" ")
		default:
			v := f[0]
			if f[1] != "1000" {
				v += "@" + k + "#" + f[1]
			}
			if len(f) > 2 {
				v += "(leaving)"
			}
			a = append(a, v+" ")
		}
	}
	slices.Sort(a)
	slices.Sort(z)
	return strings.Join(a, "") + strings.Join(z, "") + "catalogue " + c
}

// runText returns the run that the value w of a key describes, or nothing.
func runText(w string) string {
	f := strings.Fields(w)
	if len(f) < 2 || f[0] == "catalogue" || f[0] == "evacuated" {
		return ""
	}
	return "s/" + f[0] + "#" + f[1]
}

// disturb records a disturbance now. One of the source lasts until it is up.
func (s *returnSession) disturb() {
	if s.disturbed = time.Now(); s.disturbed.Before(s.up) {
		s.disturbed = s.up
	}
}

// play does the action a.
func (s *returnSession) play(t *testing.T, a returnAction) {
	t.Helper()
	k := fmt.Sprintf("t%d", a.b)
	f := strings.Fields(s.world["s/"+k])
	d := s.daemons[a.a%len(s.daemons)]
	switch a.kind {
	case "add", "replace":
		if (len(f) > 0) == (a.kind == "replace") {
			s.starts++
			s.change("s/"+k, fmt.Sprintf("%s %d", k, 1000+s.starts))
		}
	case "leave":
		if len(f) == 2 {
			s.change("s/"+k, s.world["s/"+k]+" leaving")
		}
	case "remove":
		s.change("s/"+k, "")
	case "catalogue":
		var v int
		_, _ = fmt.Sscan(strings.Fields(s.world["catalogue"])[1], &v)
		s.change("catalogue", fmt.Sprintf("catalogue %d x%d", v+1+a.b, v))
	case "evacuate":
		if z := "e/" + k; s.world[z] == "" {
			s.change(z, "evacuated kyu-b"+k)
		} else {
			s.change(z, "")
		}
	case "copy":
		if !time.Now().Before(s.up) {
			s.source.Copy()
			s.copied, s.copiedAt = maps.Clone(s.held), time.Now()
		}
	case "return":
		s.goBack(a.length / 2)
	case "cut source", "cut peers", "cut all":
		d.cutSource.Store(a.kind != "cut peers")
		d.cutPeers.Store(a.kind != "cut source")
		s.disturb()
	case "freeze", "heal":
		d.frozen.Store(a.kind == "freeze")
		d.cutSource.Store(false)
		d.cutPeers.Store(false)
		s.disturb()
	case "restart":
		d.stop()
		s.daemons = slices.DeleteFunc(s.daemons, func(v *returnDaemon) bool { return v == d })
		s.start(t, d.id)
		s.disturb()
	case "settle":
		s.advance(configApply + maxStretch + expiryTime)
	default:
		s.advance(a.length)
	}
}

// returnsSession plays the actions a and returns the violation, or nil.
func returnsSession(t *testing.T, a []returnAction, n uint64) error {
	t.Helper()
	var e error
	synctest.Test(t, func(t *testing.T) {
		s := &returnSession{
			returnFleet: &returnFleet{source: factsource.NewSource(), spread: 3}, random: rand.New(rand.NewPCG(n, n)), era: 1,
			world: map[string]string{}, held: map[string]string{}, removals: map[string]removal{},
			versions: map[*returnDaemon]lavenderridge.Versions{}, seen: map[*returnDaemon]map[string]bool{}, gone: map[*returnDaemon]map[string]bool{},
		}
		s.source.SetEra(1)
		s.change("catalogue", "catalogue 1 x")
		for _, c := range "abcdefghi" {
			s.change("s/"+string(c), string(c)+" 1000")
			s.start(t, lavenderridge.InstanceID(string(c)))
		}
		s.onStep = s.step
		s.advance(time.Second)
		for _, v := range a {
			if s.play(t, v); s.violation != nil {
				break
			}
		}
		s.advance(configApply + maxStretch + expiryTime)
		for _, d := range s.daemons {
			d.stop()
		}
		e = s.violation
	})
	return e
}

// TestReturnsAtRandom plays random sessions of nine daemons in three data centres with a
// source that returns from older copies, cuts, freezes and restarts. No daemon goes back
// or uses a run that it knows to have left, and daemons in touch use what the source holds
// within the time for a configuration and its stretch.
func TestReturnsAtRandom(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a := rapid.SliceOfN(rapid.Custom(drawReturnAction), 5, 40).Draw(r, "actions")
		n := rapid.Uint64().Draw(r, "seed")
		if e := returnsSession(t, a, n); e != nil {
			r.Fatal(e)
		}
	})
}
