package operator_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// TestReport runs the golden file testdata/report. Each input line of a report
// command is one row: the entry, the data centre, the success objective, and
// any number of good+bad@age, the requests that ended at that age.
func TestReport(t *testing.T) {
	datadriven.RunTest(t, "testdata/report", func(t *testing.T, x *datadriven.TestData) string {
		var r []operator.Row
		for l := range strings.Lines(x.Input) {
			r = append(r, parseRow(t, strings.Fields(l)))
		}
		p := operator.NewReport(r)
		var b strings.Builder
		writeLines(&b, "entry", p.ByEntry)
		writeLines(&b, "data centre", p.ByDataCentre)
		fmt.Fprintf(&b, "alert %s\n", p.Alert())
		return b.String()
	})
}

func parseRow(t *testing.T, f []string) operator.Row {
	t.Helper()
	now := time.Unix(1e9, 0)
	s, e := strconv.ParseFloat(f[2], 64)
	if e != nil {
		t.Fatal(e)
	}
	var v operator.Series
	for _, p := range f[3:] {
		var good, bad int
		var age string
		if _, e := fmt.Sscanf(p, "%d+%d@%s", &good, &bad, &age); e != nil {
			t.Fatalf("%s: %v", p, e)
		}
		d, e := time.ParseDuration(age)
		if e != nil {
			t.Fatal(e)
		}
		for i := range good + bad {
			v.Add(now.Add(-d), i < good)
		}
	}
	return operator.Row{
		Entry: lavenderridge.EntryID(f[0]), DataCentre: lavenderridge.DataCentreID(f[1]),
		Success: lavenderridge.Ratio(s), Windows: v.Counts(now),
	}
}

func writeLines(b *strings.Builder, k string, a []operator.ReportLine) {
	for _, l := range a {
		fmt.Fprintf(b, "%s %s %s:", k, l.Name, l.Alert)
		for _, w := range operator.Windows() {
			fmt.Fprintf(b, " %s %d/%d %.4g", w, l.Windows[w].Bad, l.Windows[w].Total(), l.Burn[w])
		}
		b.WriteByte('\n')
	}
}

// TestReportSumsCounts checks against a plain sum that the burn rates over several
// daemons equal those of one daemon that counted all their requests.
func TestReportSumsCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := lavenderridge.Ratio(rapid.Float64Range(0.5, 0.9999).Draw(t, "success"))
		var r []operator.Row
		var good, bad float64
		for range rapid.IntRange(1, 8).Draw(t, "daemons") {
			v := operator.Row{Entry: "e", DataCentre: "d", Success: s}
			g, b := rapid.Uint32().Draw(t, "good"), rapid.Uint32().Draw(t, "bad")
			for w := range v.Windows {
				v.Windows[w] = operator.Counts{Good: uint64(g), Bad: uint64(b)}
			}
			good, bad = good+float64(g), bad+float64(b)
			r = append(r, v)
		}
		l := operator.NewReport(r).ByEntry[0]
		want := 0.0
		if bad > 0 {
			want = bad / (good + bad) / (1 - float64(s))
		}
		for _, w := range operator.Windows() {
			if d := l.Burn[w] - want; d > 1e-6*want || -d > 1e-6*want {
				t.Fatalf("burn %g; want %g", l.Burn[w], want)
			}
		}
	})
}
