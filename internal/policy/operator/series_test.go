package operator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// countedRequest is one request in the oracle's list.
type countedRequest struct {
	minute int64
	good   bool
}

// TestSeriesMatchesOracle compares the counts of the windows with those of a
// plain list of all requests, with times that mostly grow and sometimes step
// back by up to two minutes.
func TestSeriesMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s operator.Series
		var all []countedRequest
		now := time.Unix(rapid.Int64Range(0, 1e9).Draw(t, "start"), 0)
		latest := now.Unix() / 60
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-120, 3600).Draw(t, "seconds")) * time.Second)
			m := now.Unix() / 60
			latest = max(latest, m)
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				g := rapid.Bool().Draw(t, "good")
				s.Add(now, g)
				all = append(all, countedRequest{minute: m, good: g})
			}
			if m < latest {
				continue
			}
			c := s.Counts(now)
			for _, w := range operator.Windows() {
				if x := count(all, m, int64(w.Duration()/time.Minute)); c[w] != x {
					t.Fatalf("window %s: %+v; want %+v", w, c[w], x)
				}
			}
		}
	})
}

// count is the oracle: it counts the requests of the n minutes up to m.
func count(a []countedRequest, m, n int64) operator.Counts {
	var c operator.Counts
	for _, v := range a {
		switch {
		case v.minute > m || m-v.minute >= n:
		case v.good:
			c.Good++
		default:
			c.Bad++
		}
	}
	return c
}

// BenchmarkSeriesMemory fills every bin of a series. The bytes allocated per
// operation are the memory that one entry in one data centre needs.
func BenchmarkSeriesMemory(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		s := &operator.Series{}
		for m := range int64(6*60 + 1) {
			s.Add(time.Unix(60*m, 0), true)
		}
	}
}
