package caller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// TestLimits replays the golden files of the entry limits and of load shedding.
func TestLimits(t *testing.T) {
	datadriven.Walk(t, "testdata/limits", func(t *testing.T, p string) {
		n, x := time.Unix(1000, 0), 0.5
		l, s := caller.NewEntryLimiter(n, 10), caller.NewShedder(n, func() float64 { return x })
		e := &lavenderridge.Entry{ID: "e"}
		datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string {
			k, times := "Normal", 1
			d.MaybeScanArgs(t, "class", &k)
			d.MaybeScanArgs(t, "times", &times)
			c, _ := lavenderridge.ParseClass(k)
			return repeat(times, func() string {
				switch d.Cmd {
				case "limits":
					d.MaybeScanArgs(t, "concurrency", (*int)(&e.Limits.Concurrency))
					d.MaybeScanArgs(t, "rate", (*float64)(&e.Limits.Rate))
				case "enter":
					return admitted(l.Admit(e, c, n))
				case "leave":
					l.Release(e)
				case "shed":
					d.MaybeScanArgs(t, "random", &x)
					return admitted(s.Admit("s", c, n))
				case "end":
					s.Record("s", d.HasArg("accepted"), n)
				case "advance":
					v, z := time.ParseDuration(d.CmdArgs[0].Key)
					if z != nil {
						t.Fatal(z)
					}
					n = n.Add(v)
				default:
					d.Fatalf(t, "unknown command")
				}
				return ""
			})
		})
	})
}

// repeat runs f n times and returns the number and text of each run of equal
// results.
func repeat(n int, f func() string) string {
	var b strings.Builder
	for i := 0; i < n; {
		s, m := f(), 1
		for i++; i < n; i++ {
			v := f()
			if v != s {
				fmt.Fprintf(&b, "%d x %s\n", m, s)
				s, m = v, 0
			}
			m++
		}
		if s != "" {
			fmt.Fprintf(&b, "%d x %s\n", m, s)
		}
	}
	return b.String()
}

func admitted(e error) string {
	if e == nil {
		return "admitted"
	}
	f := lavenderridge.AsRefusal(e)
	return fmt.Sprintf("%s %s retry-after=%s", f.Outcome, f.Reason, f.RetryAfter)
}
