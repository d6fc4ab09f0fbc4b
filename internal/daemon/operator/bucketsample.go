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

// A BucketSample is a sample that counts values in buckets of growing width
// and never waits; the samples of the metrics library take a lock at each
// update. Negative values count as zero.
type BucketSample struct {
	buckets [bucketCount]atomic.Int64
	count   atomic.Int64
	sum     atomic.Int64
	largest atomic.Int64
}

var _ metrics.Sample = (*BucketSample)(nil)

// NewBucketSample returns an empty sample.
func NewBucketSample() *BucketSample {
	return &BucketSample{}
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
func (s *BucketSample) Update(v int64) {
	s.buckets[bucketOf(v)].Add(1)
	s.count.Add(1)
	s.sum.Add(max(v, 0))
	for {
		m := s.largest.Load()
		if v <= m || s.largest.CompareAndSwap(m, v) {
			return
		}
	}
}

// Clear forgets every value.
func (s *BucketSample) Clear() {
	for i := range s.buckets {
		s.buckets[i].Store(0)
	}
	s.count.Store(0)
	s.sum.Store(0)
	s.largest.Store(0)
}

// Count returns the number of values.
func (s *BucketSample) Count() int64 { return s.count.Load() }

// Sum returns the sum of the values.
func (s *BucketSample) Sum() int64 { return s.sum.Load() }

// Max returns the greatest value.
func (s *BucketSample) Max() int64 { return s.largest.Load() }

// Min returns the greatest value of the lowest bucket in use.
func (s *BucketSample) Min() int64 {
	for i := range s.buckets {
		if s.buckets[i].Load() > 0 {
			return boundOf(i)
		}
	}
	return 0
}

// Mean returns the mean of the values.
func (s *BucketSample) Mean() float64 {
	return float64(s.Sum()) / float64(max(s.Count(), 1))
}

// Percentile returns a bound of the part p, from 0 to 1, of the values.
func (s *BucketSample) Percentile(p float64) float64 {
	return s.Percentiles([]float64{p})[0]
}

// Percentiles returns the percentile of each p.
func (s *BucketSample) Percentiles(p []float64) []float64 {
	a := make([]float64, len(p))
	n := s.Count()
	for i, v := range p {
		a[i] = float64(s.rank(int64(math.Ceil(v * float64(n)))))
	}
	return a
}

// rank returns a bound of the value at the place r, counted from one.
func (s *BucketSample) rank(r int64) int64 {
	var n int64
	for i := range s.buckets {
		if n += s.buckets[i].Load(); n >= r && n > 0 {
			return min(boundOf(i), s.Max())
		}
	}
	return s.Max()
}

// Size returns the number of buckets in use.
func (s *BucketSample) Size() int { return len(s.Values()) }

// Values returns the bound of each bucket in use.
func (s *BucketSample) Values() []int64 {
	var a []int64
	for i := range s.buckets {
		if s.buckets[i].Load() > 0 {
			a = append(a, boundOf(i))
		}
	}
	return a
}

// Variance returns the variance, with each value taken as its bucket's bound.
func (s *BucketSample) Variance() float64 {
	var q float64
	m := s.Mean()
	for i := range s.buckets {
		d := float64(boundOf(i)) - m
		q += float64(s.buckets[i].Load()) * d * d
	}
	return q / float64(max(s.Count(), 1))
}

// StdDev returns the standard deviation.
func (s *BucketSample) StdDev() float64 {
	return math.Sqrt(s.Variance())
}

// Snapshot returns a copy.
func (s *BucketSample) Snapshot() metrics.Sample {
	c := NewBucketSample()
	for i := range s.buckets {
		c.buckets[i].Store(s.buckets[i].Load())
	}
	c.count.Store(s.Count())
	c.sum.Store(s.Sum())
	c.largest.Store(s.Max())
	return c
}
