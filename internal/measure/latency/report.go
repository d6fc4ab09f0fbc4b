package latency

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// A Report gives the results, one for each way.
type Report struct {
	Results []Result
}

// WriteTable writes the report for people. Times in microseconds.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "way\tcalls\tfailed\tp50 us\tp90 us\tp99 us\tp99.9 us\tadded p50\tadded p99\tCPU us/call\tadded CPU\tcalls/s/core\tallocs/call\tadded allocs\t")
	d := r.Results[0]
	for _, v := range r.Results {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			v.Way, v.Calls, v.Failed, micro(v.P50), micro(v.P90), micro(v.P99), micro(v.P999),
			micro(v.P50-d.P50), micro(v.P99-d.P99), micro(v.CPU), micro(v.CPU-d.CPU), perCore(v.CPU-d.CPU),
			v.Allocations, v.Allocations-d.Allocations)
	}
	return t.Flush()
}

func micro(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

// perCore returns the calls that one core bears in a second when each takes
// the processor time d.
func perCore(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return float64(time.Second) / float64(d)
}
