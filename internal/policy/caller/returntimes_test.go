package caller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// TestReturnTimes compares the advice to refused callers with golden files. It guards
// against callers that use up their attempts within a moment of an overload that lasts for
// seconds, and against first attempts that come back too late to be in time.
func TestReturnTimes(t *testing.T) {
	datadriven.Walk(t, "testdata/returntimes", func(t *testing.T, f string) {
		r := caller.NewReturnTimes(func() float64 { return 0.5 })
		datadriven.RunTest(t, f, func(t *testing.T, d *datadriven.TestData) string {
			var s string
			n, k := 1, lavenderridge.ReasonOverloaded
			d.ScanArgs(t, "deadline", &s)
			d.MaybeScanArgs(t, "requests", &n)
			if d.HasArg("reason") {
				var v string
				d.ScanArgs(t, "reason", &v)
				k = lavenderridge.Reason(v)
			}
			l, e := time.ParseDuration(s)
			if e != nil {
				t.Fatal(e)
			}
			var b bool
			for range n {
				b = r.Arrived("e", l)
			}
			v := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, k, "full")
			v.RetryAfter = 50 * time.Millisecond
			return fmt.Sprintf("refused before: %t, come back after %s\n", b, r.Advise(v, l, b).Round(time.Millisecond))
		})
	})
}
