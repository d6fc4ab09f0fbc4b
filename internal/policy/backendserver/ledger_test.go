package backendserver_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

const (
	testLifetime = time.Second
	testMargin   = 100 * time.Millisecond
)

var testStart = time.Unix(1_800_000_000, 0)

// testKey returns the nth key, issued at t.
func testKey(t time.Time, n int) lavenderridge.IdempotencyKey {
	m := t.UnixMilli()
	return lavenderridge.IdempotencyKey(fmt.Sprintf("%08x-%04x-7000-8000-%012x", m>>16, m&0xffff, n))
}

// testAuthority refuses only expired keys, until the home moves. Then it
// refuses all keys.
type testAuthority struct {
	moved atomic.Bool
}

func (h *testAuthority) Decide(k lavenderridge.IdempotencyKey, _ lavenderridge.Versions, t time.Time) error {
	if h.moved.Load() {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonNotHome, "the home has moved")
	}
	if i, _ := k.Issued(); t.Sub(i) > testLifetime {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonKeyExpired, "the key has expired")
	}
	return nil
}

func (h *testAuthority) authority() lavenderridge.KeyAuthority { return h }

// ledgerModel holds a ledger, and what its callers know of the keys that they
// have sent.
type ledgerModel struct {
	choose       func(n int) int
	now          time.Time
	ledger       *backendserver.Ledger
	home         testAuthority
	keys         []lavenderridge.IdempotencyKey
	running      map[lavenderridge.IdempotencyKey]*backendserver.LedgerEntry
	runs         map[lavenderridge.IdempotencyKey]int
	result       map[lavenderridge.IdempotencyKey]string
	fingerprints map[lavenderridge.IdempotencyKey]lavenderridge.Fingerprint
	fault        string
}

func newLedgerModel(r backendserver.LedgerRules, choose func(n int) int) *ledgerModel {
	m := &ledgerModel{
		choose: choose, now: testStart,
		ledger:  backendserver.NewLedger(backendserver.LedgerLimits{Entries: 12, Body: 40, Bytes: 120, Lifetime: testLifetime + testMargin}),
		running: map[lavenderridge.IdempotencyKey]*backendserver.LedgerEntry{},
		runs:    map[lavenderridge.IdempotencyKey]int{}, result: map[lavenderridge.IdempotencyKey]string{},
		fingerprints: map[lavenderridge.IdempotencyKey]lavenderridge.Fingerprint{},
	}
	m.ledger.SetRules(r)
	return m
}

func (m *ledgerModel) step() {
	switch m.choose(10) {
	case 0:
		m.now = m.now.Add(time.Duration(m.choose(300)) * time.Millisecond)
	case 1:
		m.ledger.Sweep(m.now)
	case 2:
		m.now = m.now.Add(-time.Duration(m.choose(400)) * time.Millisecond)
	case 3, 4:
		m.keys = append(m.keys, testKey(m.now, len(m.keys)))
		m.send(m.keys[len(m.keys)-1], 1)
	case 5, 6, 7:
		if n := len(m.keys); n > 0 {
			f := 1 + m.choose(8)/7
			m.send(m.keys[n-1-m.choose(min(n, 16))], lavenderridge.Fingerprint(f))
		}
	default:
		m.finish()
	}
	if n := m.ledger.Size(); n > 12 || m.ledger.Bytes() > 120 {
		m.fault = fmt.Sprintf("%d entries, %d bytes", n, m.ledger.Bytes())
	}
}

func (m *ledgerModel) send(k lavenderridge.IdempotencyKey, f lavenderridge.Fingerprint) {
	e, o, x := m.ledger.Admit(m.home.authority, k, f, lavenderridge.Versions{}, m.now)
	switch {
	case x != nil:
		if lavenderridge.AsRefusal(x).Outcome == lavenderridge.OutcomeNotRun && m.runs[k] > 0 {
			m.fault = fmt.Sprintf("outcome NotRun for %s, which has run", k)
		}
	case o:
		m.running[k], m.fingerprints[k] = e, f
		if m.runs[k]++; m.runs[k] > 1 {
			m.fault = fmt.Sprintf("%s runs a second time", k)
		}
	case f != m.fingerprints[k]:
		m.fault = fmt.Sprintf("the entry of %s was returned for another request", k)
	case e.Outcome() != nil && e.Outcome().Response != nil:
		if s := string(e.Outcome().Response.Body); s != m.result[k] {
			m.fault = fmt.Sprintf("%s got the response %q instead of %q", k, s, m.result[k])
		}
	}
}

func (m *ledgerModel) finish() {
	for _, k := range m.keys {
		e := m.running[k]
		if e == nil || m.choose(2) == 0 {
			continue
		}
		delete(m.running, k)
		switch m.choose(5) {
		case 0:
			m.runs[k]-- // the owner reports that the request did not run
			m.ledger.Finish(e, nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, ""))
		case 1:
			m.ledger.Finish(e, nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonConnectionLost, ""))
		default:
			m.result[k] = strings.Repeat("x", 1+m.choose(60))
			m.ledger.Finish(e, &lavenderridge.Response{Body: []byte(m.result[k])}, nil)
		}
		return
	}
}

// TestLedger performs random resends, results and clock changes. It fails if a
// key runs twice, a response goes to another request, or the ledger exceeds
// its limits.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel(backendserver.LedgerRules{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range 200 {
			if m.step(); m.fault != "" {
				t.Fatal(m.fault)
			}
		}
	})
}

// TestEachLedgerRuleIsNeeded disables one rule at a time and expects a fault
// within a few seeds. Otherwise TestLedger would not cover that rule.
func TestEachLedgerRuleIsNeeded(t *testing.T) {
	for _, n := range []string{"unexpired entries stay", "unknown outcomes stay", "running entries stay", "fingerprint", "clock set back"} {
		t.Run(n, func(t *testing.T) {
			for s := range uint64(50) {
				m := newLedgerModel(backendserver.LedgerRulesWithout(n), rand.New(rand.NewPCG(s, 0)).IntN)
				for range 2000 {
					if m.step(); m.fault != "" {
						t.Logf("seed %d: %s", s, m.fault)
						return
					}
				}
			}
			t.Error("no fault although the rule is disabled")
		})
	}
}

// lostRuns admits keys while the home moves, and counts the keys that run
// although the records read at the move lack them.
func lostRuns(r backendserver.LedgerRules) int {
	lost := 0
	for i := range 400 {
		l := backendserver.NewLedger(backendserver.DefaultLedgerLimits())
		l.SetRules(r)
		var h testAuthority
		var w sync.WaitGroup
		ran := make([]bool, 16)
		begin := make(chan struct{})
		for j := range ran {
			w.Go(func() {
				<-begin
				_, o, x := l.Admit(h.authority, testKey(testStart, i*100+j), 1, lavenderridge.Versions{}, testStart)
				ran[j] = o && x == nil
			})
		}
		var given []lavenderridge.LedgerRecord
		w.Go(func() {
			<-begin
			h.moved.Store(true)
			given, _ = l.Records("next", func(lavenderridge.IdempotencyKey) lavenderridge.InstanceID { return "next" }, lavenderridge.Mebibyte)
		})
		close(begin)
		w.Wait()
		m := map[lavenderridge.IdempotencyKey]bool{}
		for _, v := range given {
			m[v.Key] = true
		}
		for j, o := range ran {
			if o && !m[testKey(testStart, i*100+j)] {
				lost++
			}
		}
	}
	return lost
}

// TestAdmitDuringMove checks that each run is either abandoned or contained in
// the records that are read once the home has moved. Otherwise the new home
// would run the key a second time.
func TestAdmitDuringMove(t *testing.T) {
	if n := lostRuns(backendserver.LedgerRules{}); n > 0 {
		t.Errorf("%d runs are missing from the records", n)
	}
	t.Logf("%d runs are missing from the records without the second decision", lostRuns(backendserver.LedgerRulesWithout("decided again")))
}

// TestLedgerSessions runs the golden files, each against one ledger.
func TestLedgerSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/ledger", func(t *testing.T, p string) {
		l := backendserver.NewLedger(backendserver.LedgerLimits{Entries: 2, Body: 8, Bytes: 12, Lifetime: testLifetime + testMargin})
		var h testAuthority
		open := map[string]*backendserver.LedgerEntry{}
		now := testStart
		keys := map[string]lavenderridge.IdempotencyKey{}
		datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string {
			var k string
			if d.HasArg("key") {
				d.ScanArgs(t, "key", &k)
				if keys[k] == "" {
					keys[k] = testKey(now, len(keys))
				}
			}
			switch d.Cmd {
			case "send":
				f := 1
				d.MaybeScanArgs(t, "fingerprint", &f)
				e, o, x := l.Admit(h.authority, keys[k], lavenderridge.Fingerprint(f), lavenderridge.Versions{}, now)
				if x != nil {
					return x.Error() + "\n"
				}
				if o {
					open[k] = e
					return "runs\n"
				}
				return describeEntry(e) + "\n"
			case "finish":
				v := lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonConnectionLost, "reset")
				switch s := strings.TrimSpace(d.Input); s {
				case "NotRun":
					v.Outcome = lavenderridge.OutcomeNotRun
					l.Finish(open[k], nil, v)
				case "Unknown":
					l.Finish(open[k], nil, v)
				default:
					l.Finish(open[k], &lavenderridge.Response{Body: []byte(s)}, nil)
				}
			case "pass":
				var s string
				d.ScanArgs(t, "time", &s)
				x, e := time.ParseDuration(s)
				if e != nil {
					t.Fatal(e)
				}
				now = now.Add(x)
			case "sweep":
				l.Sweep(now)
			case "move":
				h.moved.Store(true)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return fmt.Sprintf("entries %d, bytes %d\n", l.Size(), l.Bytes())
		})
	})
}

func describeEntry(e *backendserver.LedgerEntry) string {
	o := e.Outcome()
	switch {
	case o == nil:
		return "waits for the first run"
	case o.Response != nil:
		return fmt.Sprintf("response %q", o.Response.Body)
	default:
		return o.Refusal.Error()
	}
}
