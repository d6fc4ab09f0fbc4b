package configservice_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// steadyTime is the freshness of proofs at a time that the test sets.
type steadyTime struct {
	proofs *configservice.CatalogueProofs
	now    time.Duration
}

func (s *steadyTime) CatalogueAge(v lavenderridge.Version) (time.Duration, bool) {
	return s.proofs.Age(v, s.now)
}

// TestProofs prints which requests are refused as proofs come and time passes. Times are
// in milliseconds.
func TestProofs(t *testing.T) {
	s := &steadyTime{proofs: configservice.NewCatalogueProofs()}
	l := configservice.NewFreshnessLimit(configservice.NewRevocationPlan(5*time.Second), s)
	datadriven.RunTest(t, "testdata/proofs", func(t *testing.T, d *datadriven.TestData) string {
		var v, at int
		d.MaybeScanArgs(t, "version", &v)
		d.MaybeScanArgs(t, "at", &at)
		n, m := lavenderridge.Version(v), time.Duration(at)*time.Millisecond
		switch d.Cmd {
		case "proof":
			s.proofs.Add(n, m)
			return ""
		case "tell":
			p := s.proofs.Proof(n, m)
			return fmt.Sprintf("catalogue %d, %s ago\n", p.Version, p.Age)
		}
		s.now = m
		r := &lavenderridge.Request{}
		if !d.HasArg("public") {
			r.Customer = "school"
		}
		e := l.Check(r, n)
		if e == nil {
			return "admitted\n"
		}
		var f *lavenderridge.Refusal
		if !errors.As(e, &f) {
			d.Fatalf(t, "%v", e)
		}
		return fmt.Sprintf("%s %s, retry after %s: %s\n", f.Outcome, f.Reason, f.RetryAfter, f.Detail)
	})
}

// TestFreshRequestAllocates guards against an allocation for each request.
func TestFreshRequestAllocates(t *testing.T) {
	s := &steadyTime{proofs: configservice.NewCatalogueProofs()}
	s.proofs.Add(7, 0)
	l := configservice.NewFreshnessLimit(configservice.NewRevocationPlan(5*time.Second), s)
	r := &lavenderridge.Request{Customer: "school"}
	if n := testing.AllocsPerRun(100, func() {
		if e := l.Check(r, 7); e != nil {
			t.Fatal(e)
		}
	}); n > 0 {
		t.Errorf("%g allocations", n)
	}
}

// TestAskSources prints the daemons that others ask.
func TestAskSources(t *testing.T) {
	datadriven.RunTest(t, "testdata/proofsources", func(t *testing.T, d *datadriven.TestData) string {
		var n, c int
		d.ScanArgs(t, "daemons", &n)
		d.ScanArgs(t, "datacentres", &c)
		l := &lavenderridge.InstanceList{}
		for i := range n {
			l.Instances = append(l.Instances, lavenderridge.Instance{
				ID: lavenderridge.InstanceID(fmt.Sprintf("n%d", i)), DataCentre: lavenderridge.DataCentreID(fmt.Sprintf("d%d", i%c)), State: lavenderridge.InstanceLive,
			})
		}
		return describeSources(l)
	})
}

// describeSources returns whom the first daemons of the list l ask, how many ask the same
// one first, and how many calls away from a reader a daemon is.
func describeSources(l *lavenderridge.InstanceList) string {
	parent := map[lavenderridge.InstanceID]lavenderridge.InstanceID{}
	children := map[lavenderridge.InstanceID]int{}
	var b strings.Builder
	for i := range l.Instances {
		v := &l.Instances[i]
		s := configservice.NewAskSources(v.ID, v.DataCentre)
		r := s.Update(l, nil)
		if i < 3 {
			fmt.Fprintf(&b, "%s in %s, reader %t, asks", v.ID, v.DataCentre, r)
			for range 4 {
				fmt.Fprintf(&b, " %s", s.Next())
				s.Skip()
			}
			b.WriteString("\n")
		}
		if s = configservice.NewAskSources(v.ID, v.DataCentre); !s.Update(l, nil) {
			parent[v.ID] = s.Next()
			children[s.Next()]++
		}
	}
	var most, depth int
	for _, n := range children {
		most = max(most, n)
	}
	for n := range parent {
		k := 0
		for o := true; o; n, o = parent[n] {
			k++
		}
		depth = max(depth, k-1)
	}
	return b.String() + fmt.Sprintf("at most %d ask the same one, at most %d calls from a reader\n", most, depth)
}

// TestRevocationPlan prints the ages that follow from the time within which a revocation
// is to hold. In calm, no daemon may reach the age from which on it reads the source
// itself, much less the one from which on it refuses.
func TestRevocationPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/revocationplan", func(t *testing.T, d *datadriven.TestData) string {
		v, e := time.ParseDuration(d.CmdArgs[0].Key)
		if e != nil {
			d.Fatalf(t, "%v", e)
		}
		p := configservice.NewRevocationPlan(v)
		return fmt.Sprintf("watch %s, asks every %s to %s, in calm at most %s old, refuses from %s on: %t\n",
			p.MaxWatchWait(), p.AskInterval(0), p.AskInterval(1), p.CalmAge(), p.MaxAge(), p.CalmAge() < p.MaxAge())
	})
}
