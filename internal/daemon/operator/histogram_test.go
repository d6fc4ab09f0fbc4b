package operator_test

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge/internal/daemon/operator"
)

// TestHistogramMatchesOracle compares the histogram with the sorted values: each
// percentile is at least the exact one and exceeds it by at most 1/32.
func TestHistogramMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.SliceOfN(rapid.OneOf(rapid.Int64Range(0, 5000), rapid.Int64Range(0, math.MaxInt64)), 1, 200).Draw(t, "values")
		s := operator.NewHistogram()
		for _, v := range a {
			s.Update(v)
		}
		slices.Sort(a)
		for _, p := range []float64{0.01, 0.5, 0.9, 0.99, 1} {
			v := float64(a[max(0, int(math.Ceil(p*float64(len(a))))-1)])
			if q := s.Percentile(p); q < v || q > v*(1+1.0/32) {
				t.Fatalf("percentile %g is %g; want %g", p, q, v)
			}
		}
		if s.Count() != int64(len(a)) || s.Max() != a[len(a)-1] {
			t.Fatalf("count %d, maximum %d; want %d, %d", s.Count(), s.Max(), len(a), a[len(a)-1])
		}
	})
}
