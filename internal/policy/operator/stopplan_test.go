package operator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// TestStopPlan prints how the grace times of platforms are divided. Requests that are
// still running may be ended no earlier than in the last sixth of the grace time.
func TestStopPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/stopplan", func(t *testing.T, d *datadriven.TestData) string {
		g, e := time.ParseDuration(d.CmdArgs[0].Key)
		if e != nil {
			t.Fatal(e)
		}
		p := operator.NewStopPlan(g)
		return fmt.Sprintf("accepts for %s, waits for %s, ends %s before the kill; in the last sixth %t, fits %t\n",
			p.Delay, p.Timeout, g-p.Delay-p.Timeout, p.Delay+p.Timeout >= g*5/6, p.Fits(g))
	})
}
