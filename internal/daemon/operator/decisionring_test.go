package operator_test

import (
	"strconv"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/operator"
)

// TestDecisionRingMatchesOracle compares the ring with a list of all decisions.
func TestDecisionRingMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "size")
		r := operator.NewDecisionRing(n)
		var all []lavenderridge.Decision
		for i := range rapid.IntRange(0, 60).Draw(t, "decisions") {
			d := lavenderridge.Decision{Event: rapid.SampledFrom([]string{"A", "B"}).Draw(t, "event"), Subject: strconv.Itoa(i)}
			r.Record(d)
			all = append(all, d)
		}
		k := rapid.IntRange(1, 30).Draw(t, "limit")
		f := func(d *lavenderridge.Decision) bool { return d.Event == "A" }
		var want []lavenderridge.Decision
		for _, d := range all[max(0, len(all)-n):] {
			if f(&d) {
				want = append(want, d)
			}
		}
		want = want[max(0, len(want)-k):]
		a := r.Decisions(k, f)
		if len(a) != len(want) {
			t.Fatalf("%d decisions; want %d", len(a), len(want))
		}
		for i := range a {
			if a[i] != want[i] {
				t.Fatalf("decision %d is %v; want %v", i, a[i], want[i])
			}
		}
	})
}

// TestDecisionRingManyWriters checks that the ring is full of decisions, with
// those of each goroutine in their order, when several goroutines record
// concurrently.
func TestDecisionRingManyWriters(t *testing.T) {
	const writers, each, size = 8, 500, 64
	r := operator.NewDecisionRing(size)
	var g sync.WaitGroup
	for w := range writers {
		g.Go(func() {
			for i := range each {
				r.Record(lavenderridge.Decision{Event: strconv.Itoa(w), Subject: strconv.Itoa(i)})
			}
		})
	}
	g.Wait()
	a := r.Decisions(size, func(*lavenderridge.Decision) bool { return true })
	if len(a) != size || r.Recorded() != writers*each {
		t.Fatalf("%d kept of %d recorded; want %d of %d", len(a), r.Recorded(), size, writers*each)
	}
	last := map[string]int{}
	for _, d := range a {
		n, _ := strconv.Atoi(d.Subject)
		if v, o := last[d.Event]; o && v >= n {
			t.Errorf("writer %s: %d after %d", d.Event, n, v)
		}
		last[d.Event] = n
	}
}
