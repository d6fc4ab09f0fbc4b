package operator_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/operator"
)

// TestCustomerCountersAreBounded checks that the counters of customers stay bounded with
// 10,000 of them, whose names come from the catalogue, that none of their requests goes
// uncounted, and that a name can't forge another label.
func TestCustomerCountersAreBounded(t *testing.T) {
	r := metrics.NewRegistry()
	m := operator.NewRequestMetrics(r)
	var w sync.WaitGroup
	for i := range 4 {
		w.Go(func() {
			for j := range 10_000 {
				o := lavenderridge.Observation{Customer: lavenderridge.CustomerID(fmt.Sprintf("a,Result={%d}", j)), Good: i == 0}
				if i == 1 {
					o.Refusal = lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonQuota, "")
				}
				m.Observe(o)
			}
		})
	}
	w.Wait()
	n, sum := 0, map[string]int64{}
	r.Each(func(k string, v any) {
		if c, o := strings.CutPrefix(k, "CustomerRequests"); o {
			n++
			sum[c[strings.LastIndex(c, "="):]] += v.(metrics.Counter).Count()
			if strings.Count(k, ",") != 1 {
				t.Errorf("metric %s", k)
			}
		}
	})
	if n > 3*257 {
		t.Errorf("%d counters; want at most %d", n, 3*257)
	}
	for k, v := range map[string]int64{"=Good}": 10_000, "=Refused}": 10_000, "=Bad}": 20_000} {
		if sum[k] != v {
			t.Errorf("%d requests %s; want %d", sum[k], k, v)
		}
	}
}
