package caller

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// A Report is the result of a load. Latencies are measured from the time at which
// a request was due, so that a delay before it is sent counts too.
type Report struct {
	Elapsed time.Duration
	Counts  Counts
	P50     time.Duration
	P90     time.Duration
	P99     time.Duration
	P999    time.Duration
	Max     time.Duration
	Seconds []Second
	// Resent counts keyed requests that were sent twice. Differing counts those of
	// them that were answered both times, with different bodies: an idempotency
	// key was not honoured.
	Resent    int
	Differing int
}

// newReport returns the report on a load that ran for the time d, from one bin for
// each second.
func newReport(d time.Duration, a []*bin) *Report {
	r := &Report{Elapsed: d}
	t := newBin()
	for i, b := range a {
		t.add(b)
		r.Seconds = append(r.Seconds, Second{
			Offset: time.Duration(i) * time.Second, Counts: b.counts, P50: b.quantile(50), P99: b.quantile(99),
		})
	}
	r.Counts = t.counts
	r.P50, r.P90, r.P99, r.P999 = t.quantile(50), t.quantile(90), t.quantile(99), t.quantile(99.9)
	r.Max = time.Duration(t.latency.Max())
	return r
}

// Success returns the fraction of the requests that were answered.
func (r *Report) Success() float64 {
	if r.Counts.Sent == 0 {
		return 0
	}
	return float64(r.Counts.Answered) / float64(r.Counts.Sent)
}

// WriteTable writes the totals of the report as text.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	n := &r.Counts
	_, _ = fmt.Fprintf(t, "sent\t%d in %s (%.0f/s)\n", n.Sent, r.Elapsed.Round(time.Millisecond), float64(n.Sent)/r.Elapsed.Seconds())
	_, _ = fmt.Fprintf(t, "answered\t%d (%.3f%%)\n", n.Answered, 100*r.Success())
	_, _ = fmt.Fprintf(t, "server errors\t%d\n", n.ServerErrors)
	_, _ = fmt.Fprintf(t, "refused\t%d not run, %d unknown\n", n.NotRun, n.Unknown)
	_, _ = fmt.Fprintf(t, "failed\t%d\n", n.Failed)
	_, _ = fmt.Fprintf(t, "resent\t%d, %d with a differing answer\n", r.Resent, r.Differing)
	_, _ = fmt.Fprintf(t, "latency\tp50 %s, p90 %s, p99 %s, p99.9 %s, max %s\n", formatDuration(r.P50), formatDuration(r.P90), formatDuration(r.P99), formatDuration(r.P999), formatDuration(r.Max))
	for _, k := range slices.Sorted(maps.Keys(n.Reasons)) {
		_, _ = fmt.Fprintf(t, "reason %s\t%d\n", k, n.Reasons[k])
	}
	return t.Flush()
}

// WriteSeconds writes a table with one line for each second.
func (r *Report) WriteSeconds(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "second\tsent\tanswered\tnot run\tunknown\tfailed\tp50\tp99\t")
	for _, s := range r.Seconds {
		n := &s.Counts
		_, _ = fmt.Fprintf(t, "%.0f\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", s.Offset.Seconds(), n.Sent, n.Answered, n.NotRun, n.Unknown, n.Failed, formatDuration(s.P50), formatDuration(s.P99))
	}
	return t.Flush()
}

func formatDuration(d time.Duration) string {
	if d < time.Millisecond {
		return d.Round(time.Microsecond).String()
	}
	return d.Round(10 * time.Microsecond).String()
}
