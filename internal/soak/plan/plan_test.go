package plan

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPlan checks that a seed always gives the recorded plan. Otherwise a seed
// that found a fault in the past no longer reproduces it.
func TestPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/plans", func(t *testing.T, d *datadriven.TestData) string {
		var s uint64
		d.ScanArgs(t, "seed", &s)
		var b strings.Builder
		for _, v := range NewPlan(s, 4, 2, 2*time.Second).Steps {
			_, _ = fmt.Fprintln(&b, v)
		}
		if d.HasArg("limits") {
			b.Reset()
			for _, v := range NewPlan(s, 4, 2, 2*time.Second).Limits {
				_, _ = fmt.Fprintln(&b, v)
			}
		}
		if d.HasArg("revocations") {
			b.Reset()
			for _, v := range NewPlan(s, 4, 2, 2*time.Second).Revocations {
				_, _ = fmt.Fprintln(&b, v)
			}
		}
		return b.String()
	})
}
