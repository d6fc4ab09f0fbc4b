package caller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms. Latencies outside the range are
// recorded as its nearest bound.
const (
	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(2 * time.Minute)
	significantDigits = 3
)

// bin holds the counts and latencies of the requests that were due in one second.
type bin struct {
	counts  Counts
	latency *hdrhistogram.Histogram
}

func newBin() *bin {
	return &bin{latency: hdrhistogram.New(lowestLatency, highestLatency, significantDigits)}
}

func (b *bin) add(o *bin) {
	b.counts.add(&o.counts)
	b.latency.Merge(o.latency)
}

func (b *bin) record(d time.Duration) {
	_ = b.latency.RecordValue(min(max(int64(d), lowestLatency), highestLatency))
}

// quantile returns the latency at the percentile q, from 0 to 100.
func (b *bin) quantile(q float64) time.Duration {
	return time.Duration(b.latency.ValueAtQuantile(q))
}
