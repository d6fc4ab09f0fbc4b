package operator_test

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/operator"
)

// TestBurnCounterIsBounded checks that the number of counted pairs is bounded,
// that requests of further pairs are counted as dropped, and that no request of a
// counted pair is lost when several goroutines observe concurrently.
func TestBurnCounterIsBounded(t *testing.T) {
	const writers, entries, limit = 4, 1100, 1024
	b := operator.NewBurnCounter()
	r := metrics.NewRegistry()
	o := operator.Observers{b, operator.NewRequestMetrics(r)}
	now := time.Unix(1e9, 0)
	var g sync.WaitGroup
	for range writers {
		g.Go(func() {
			for i := range entries {
				o.Observe(lavenderridge.Observation{Time: now, Entry: lavenderridge.EntryID(strconv.Itoa(i)), Good: i%2 == 0})
			}
		})
	}
	g.Wait()
	a := b.Rows(nil, now)
	if len(a) != limit || b.Dropped() != writers*(entries-limit) {
		t.Errorf("%d rows and %d dropped; want %d and %d", len(a), b.Dropped(), limit, writers*(entries-limit))
	}
	for _, v := range a {
		if v.Windows[0].Total() != writers {
			t.Errorf("entry %s: %d requests; want %d", v.Entry, v.Windows[0].Total(), writers)
		}
	}
	if n := r.Get("Requests{Good=true}").(metrics.Counter).Count(); n != writers*entries/2 {
		t.Errorf("%d good requests; want %d", n, writers*entries/2)
	}
}

func BenchmarkObserve(b *testing.B) {
	o := operator.Observers{operator.NewBurnCounter(), operator.NewRequestMetrics(metrics.NewRegistry())}
	v := lavenderridge.Observation{Time: time.Unix(1e9, 0), Entry: "roster", DataCentre: "fukuoka", Latency: time.Millisecond, Good: true}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			o.Observe(v)
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	r := operator.NewDecisionRing(4096)
	d := lavenderridge.Decision{Event: "AttemptRefused", Subject: "roster-1"}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			r.Record(d)
		}
	})
}
