package operator

import (
	"math"
	"math/bits"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Each power of two is split into subBuckets buckets, so that a value is known
// to one part in subBuckets.
const (
	subBits     = 5
	subBuckets  = 1 << subBits
	bucketCount = (64 - subBits) * subBuckets
)

// A Histogram counts values in buckets of growing width and never waits; the
// samples of the metrics library take a lock at each update. Negative values
// count as zero.
type Histogram struct {
	buckets [bucketCount]atomic.Int64
	count   atomic.Int64
	sum     atomic.Int64
	largest atomic.Int64
}

var _ metrics.Histogram = (*Histogram)(nil)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{}
}

// bucketOf returns the bucket of the value v.
func bucketOf(v int64) int {
	n := uint64(max(v, 0))
	if n < subBuckets {
		return int(n)
	}
	x := bits.Len64(n) - subBits - 1
	return (x+1)*subBuckets + int(n>>x) - subBuckets
}

// boundOf returns the greatest value of the bucket i.
func boundOf(i int) int64 {
	if i < subBuckets {
		return int64(i)
	}
	x := i/subBuckets - 1
	return int64(i%subBuckets+subBuckets+1)<<x - 1
}

// Update counts the value v.
func (h *Histogram) Update(v int64) {
	h.buckets[bucketOf(v)].Add(1)
	h.count.Add(1)
	h.sum.Add(max(v, 0))
	for {
		m := h.largest.Load()
		if v <= m || h.largest.CompareAndSwap(m, v) {
			return
		}
	}
}

// Clear forgets every value.
func (h *Histogram) Clear() {
	for i := range h.buckets {
		h.buckets[i].Store(0)
	}
	h.count.Store(0)
	h.sum.Store(0)
	h.largest.Store(0)
}

// Count returns the number of values.
func (h *Histogram) Count() int64 { return h.count.Load() }

// Sum returns the sum of the values.
func (h *Histogram) Sum() int64 { return h.sum.Load() }

// Max returns the greatest value.
func (h *Histogram) Max() int64 { return h.largest.Load() }

// Min returns the greatest value of the lowest bucket in use.
func (h *Histogram) Min() int64 {
	for i := range h.buckets {
		if h.buckets[i].Load() > 0 {
			return boundOf(i)
		}
	}
	return 0
}

// Mean returns the mean of the values.
func (h *Histogram) Mean() float64 {
	return float64(h.Sum()) / float64(max(h.Count(), 1))
}

// Percentile returns a bound of the part p, from 0 to 1, of the values.
func (h *Histogram) Percentile(p float64) float64 {
	return h.Percentiles([]float64{p})[0]
}

// Percentiles returns the percentile of each p.
func (h *Histogram) Percentiles(p []float64) []float64 {
	a := make([]float64, len(p))
	n := h.Count()
	for i, v := range p {
		a[i] = float64(h.rank(int64(math.Ceil(v * float64(n)))))
	}
	return a
}

// rank returns a bound of the value at the place r, counted from one.
func (h *Histogram) rank(r int64) int64 {
	var n int64
	for i := range h.buckets {
		if n += h.buckets[i].Load(); n >= r && n > 0 {
			return min(boundOf(i), h.Max())
		}
	}
	return h.Max()
}

// Sample returns a sample without values: the histogram keeps none.
func (h *Histogram) Sample() metrics.Sample {
	return metrics.NilSample{}
}

// Variance returns the variance, with each value taken as its bucket's bound.
func (h *Histogram) Variance() float64 {
	var q float64
	m := h.Mean()
	for i := range h.buckets {
		d := float64(boundOf(i)) - m
		q += float64(h.buckets[i].Load()) * d * d
	}
	return q / float64(max(h.Count(), 1))
}

// StdDev returns the standard deviation.
func (h *Histogram) StdDev() float64 {
	return math.Sqrt(h.Variance())
}

// Snapshot returns a copy.
func (h *Histogram) Snapshot() metrics.Histogram {
	c := NewHistogram()
	for i := range h.buckets {
		c.buckets[i].Store(h.buckets[i].Load())
	}
	c.count.Store(h.Count())
	c.sum.Store(h.Sum())
	c.largest.Store(h.Max())
	return c
}
