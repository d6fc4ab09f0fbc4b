package latency

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// A Report contains one result for each way. The first is that of Direct, the
// baseline for the others.
type Report struct {
	Results []Result
}

// WriteTable writes the report as text. Times are in microseconds. The columns
// "added" contain the difference to the first result.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "way\tcalls\tfailed\tp50 us\tp90 us\tp99 us\tp99.9 us\tadded p50\tadded p99\tCPU us/call\tadded CPU\tcalls/s/core\tallocs/call\tadded allocs\t")
	d := r.Results[0]
	for _, v := range r.Results {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			v.Way, v.Calls, v.Failed, inMicroseconds(v.P50), inMicroseconds(v.P90), inMicroseconds(v.P99), inMicroseconds(v.P999),
			inMicroseconds(v.P50-d.P50), inMicroseconds(v.P99-d.P99), inMicroseconds(v.CPU), inMicroseconds(v.CPU-d.CPU), callsPerCore(v.CPU-d.CPU),
			v.Allocations, v.Allocations-d.Allocations)
	}
	return t.Flush()
}

func inMicroseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

// callsPerCore returns how many calls per second one core can handle if each takes
// the processor time d. It returns 0 if d is not positive.
func callsPerCore(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return float64(time.Second) / float64(d)
}
