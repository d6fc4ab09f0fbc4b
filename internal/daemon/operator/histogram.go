package operator

import (
	"math"
	"math/bits"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Values below subBuckets have a bucket each. Each power of two above is split
// into subBuckets buckets of equal width, so that the relative error of a value
// is at most 1/subBuckets.
const (
	subBucketBits = 5
	subBuckets    = 1 << subBucketBits
	bucketCount   = (64 - subBucketBits) * subBuckets
)

// A Histogram counts values in buckets whose width grows with the value. It takes
// no lock, unlike the samples of the metrics library, which take one at each
// update. Negative values count as zero.
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

// bucketIndex returns the index of the bucket that contains the value v.
func bucketIndex(v int64) int {
	n := uint64(max(v, 0))
	if n < subBuckets {
		return int(n)
	}
	x := bits.Len64(n) - subBucketBits - 1
	return (x+1)*subBuckets + int(n>>x) - subBuckets
}

// upperBound returns the greatest value of the bucket i.
func upperBound(i int) int64 {
	if i < subBuckets {
		return int64(i)
	}
	x := i/subBuckets - 1
	return int64(i%subBuckets+subBuckets+1)<<x - 1
}

// Update counts the value v.
func (h *Histogram) Update(v int64) {
	h.buckets[bucketIndex(v)].Add(1)
	h.count.Add(1)
	h.sum.Add(max(v, 0))
	for {
		m := h.largest.Load()
		if v <= m || h.largest.CompareAndSwap(m, v) {
			return
		}
	}
}

// Clear removes all values.
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

// Min returns the upper bound of the lowest bucket that is not empty.
func (h *Histogram) Min() int64 {
	for i := range h.buckets {
		if h.buckets[i].Load() > 0 {
			return upperBound(i)
		}
	}
	return 0
}

// Mean returns the mean of the values.
func (h *Histogram) Mean() float64 {
	return float64(h.Sum()) / float64(max(h.Count(), 1))
}

// Percentile returns an upper bound of the percentile p, which is given as a
// fraction from 0 to 1. The bound exceeds the exact percentile by at most 1/32.
func (h *Histogram) Percentile(p float64) float64 {
	return h.Percentiles([]float64{p})[0]
}

// Percentiles returns Percentile for each element of p.
func (h *Histogram) Percentiles(p []float64) []float64 {
	a := make([]float64, len(p))
	n := h.Count()
	for i, v := range p {
		a[i] = float64(h.valueAtRank(int64(math.Ceil(v * float64(n)))))
	}
	return a
}

// valueAtRank returns an upper bound of the r-th smallest value, counted from 1.
func (h *Histogram) valueAtRank(r int64) int64 {
	var n int64
	for i := range h.buckets {
		if n += h.buckets[i].Load(); n >= r && n > 0 {
			return min(upperBound(i), h.Max())
		}
	}
	return h.Max()
}

// Sample returns an empty sample, because the histogram keeps no single values.
func (h *Histogram) Sample() metrics.Sample {
	return metrics.NilSample{}
}

// Variance returns the approximate variance: each value counts as the upper bound
// of its bucket.
func (h *Histogram) Variance() float64 {
	var q float64
	m := h.Mean()
	for i := range h.buckets {
		d := float64(upperBound(i)) - m
		q += float64(h.buckets[i].Load()) * d * d
	}
	return q / float64(max(h.Count(), 1))
}

// StdDev returns the square root of Variance.
func (h *Histogram) StdDev() float64 {
	return math.Sqrt(h.Variance())
}

// Snapshot returns a copy. Values that are added meanwhile may be missing from
// some of its parts.
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
