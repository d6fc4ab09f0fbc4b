package caller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(2 * time.Minute)
	significantDigits = 3
)

// bin holds what happened to the requests that were due in one second.
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

func (b *bin) quantile(q float64) time.Duration {
	return time.Duration(b.latency.ValueAtQuantile(q))
}
