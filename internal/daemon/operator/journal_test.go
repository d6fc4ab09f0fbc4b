package operator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/operator"
)

// TestJournal runs testdata/journal: decisions and requests that are recorded one
// second apart, and the decisions that the journal keeps.
func TestJournal(t *testing.T) {
	var j *operator.Journal
	now := time.Unix(0, 0).UTC()
	datadriven.RunTest(t, "testdata/journal", func(t *testing.T, x *datadriven.TestData) string {
		now = now.Add(time.Second)
		var n int
		switch x.Cmd {
		case "new":
			x.ScanArgs(t, "size", &n)
			j = operator.NewJournal(n)
		case "record":
			j.Record(lavenderridge.Decision{Time: now, Event: x.CmdArgs[0].Key, Subject: x.CmdArgs[1].Key, Versions: lavenderridge.Versions{Catalogue: 7}})
		case "answer":
			j.Observe(lavenderridge.Observation{Time: now, Request: lavenderridge.RequestID(x.CmdArgs[0].Key), Good: true})
		case "refuse":
			r := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, "no slot")
			r.Place = "roster-1"
			o := lavenderridge.Observation{
				Time: now, Request: lavenderridge.RequestID(x.CmdArgs[0].Key), Entry: "roster-read",
				Versions: lavenderridge.Versions{Catalogue: 8, InstanceList: 3}, Refusal: r,
			}
			x.MaybeScanArgs(t, "customer", (*string)(&o.Customer))
			j.Observe(o)
		case "show":
			x.ScanArgs(t, "limit", &n)
			var b strings.Builder
			for _, d := range j.Decisions(n, func(*lavenderridge.Decision) bool { return true }) {
				fmt.Fprintf(&b, "%s %s %s catalogue %d: %s\n", d.Time.Format(time.TimeOnly), d.Event, d.Subject, d.Versions.Catalogue, d.Reason)
			}
			return b.String()
		default:
			t.Fatalf("unknown command %s", x.Cmd)
		}
		return ""
	})
}

func BenchmarkJournalRefusal(b *testing.B) {
	j := operator.NewJournal(512)
	o := lavenderridge.Observation{
		Time: time.Unix(1e9, 0), Request: "r-1", Entry: "roster-read",
		Refusal: lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, "no slot"),
	}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			j.Observe(o)
		}
	})
}
