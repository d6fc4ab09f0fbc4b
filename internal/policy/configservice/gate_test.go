package configservice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// TestGate replays contacts, heartbeats and pauses of the process and prints
// whether the gate is open. Times are in milliseconds.
func TestGate(t *testing.T) {
	base := time.Unix(1_000, 0)
	var g *configservice.ReadinessGate
	epochs := map[string]configservice.Epoch{}
	datadriven.RunTest(t, "testdata/gate", func(t *testing.T, d *datadriven.TestData) string {
		var at, have, want int
		var name string
		d.MaybeScanArgs(t, "at", &at)
		d.MaybeScanArgs(t, "have", &have)
		d.MaybeScanArgs(t, "want", &want)
		d.MaybeScanArgs(t, "contact", &name)
		now := base.Add(time.Duration(at) * time.Millisecond)
		switch d.Cmd {
		case "start":
			g = configservice.NewReadinessGate(now)
		case "heartbeat":
			return fmt.Sprintf("paused %t\n", g.Heartbeat(now))
		case "begin":
			epochs[name] = g.Epoch()
		case "answer":
			g.Open(epochs[name], lavenderridge.Versions{Catalogue: lavenderridge.Version(want)}, now)
		case "ready":
			if e := g.Ready(lavenderridge.Versions{Catalogue: lavenderridge.Version(have)}, now); e != nil {
				return e.Error() + "\n"
			}
			return "ready\n"
		}
		return ""
	})
}

// TestPlan prints the plan for reading the source in various states. Ages are in
// seconds.
func TestPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/plan", func(t *testing.T, d *datadriven.TestData) string {
		var s configservice.ReadState
		var fleet, failures, within int
		var random float64
		d.MaybeScanArgs(t, "fleet", &fleet)
		d.MaybeScanArgs(t, "failures", &failures)
		var followAge string
		s.Rank = -1
		d.MaybeScanArgs(t, "rank", &s.Rank)
		d.MaybeScanArgs(t, "within", &within)
		if d.MaybeScanArgs(t, "follow-age", &followAge); followAge != "" {
			var e error
			if s.FollowAge, e = time.ParseDuration(followAge); e != nil {
				d.Fatalf(t, "%v", e)
			}
		}
		d.MaybeScanArgs(t, "has-version", &s.HasVersion)
		d.MaybeScanArgs(t, "reader", &s.IsReader)
		d.MaybeScanArgs(t, "random", &random)
		s.FleetSize, s.Failures = fleet, failures
		s.Apply = configservice.NewApplyPlan(time.Duration(within) * time.Second)
		d.MaybeScanArgs(t, "has-list", &s.HasInstanceList)
		var revoke, age int
		d.MaybeScanArgs(t, "revoke", &revoke)
		d.MaybeScanArgs(t, "catalogue-age", &age)
		s.Revocation, s.CatalogueAge = configservice.NewRevocationPlan(time.Duration(revoke)*time.Second), time.Duration(age)*time.Second
		p := configservice.PlanRead(s, random)
		switch d.Cmd {
		case "first":
			p = configservice.PlanFirstRead(s, fleet, random)
		case "follow":
			p = configservice.FollowScheduler{}.Next(s, random)
		}
		return fmt.Sprintf("skip %t, delay %s, wait %s\n", p.Skip, p.Delay.Round(time.Millisecond), p.Wait.Round(time.Millisecond))
	})
}
