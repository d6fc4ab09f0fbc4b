package backendserver_test

import (
	"container/heap"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// completions is a heap of running requests, ordered by the time at which they
// end.
type completions []completion

type completion struct{ begun, end time.Time }

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].end.Before(c[j].end) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	o := *c
	v := o[len(o)-1]
	*c = o[:len(o)-1]
	return v
}

// saturate keeps as many requests running as l allows for the duration d, and
// returns the number of responses per second. A request that starts as the nth
// in flight takes f(n).
func saturate(l *backendserver.Limiter, n lavenderridge.Slots, t time.Time, d time.Duration, f func(n int) time.Duration) float64 {
	var c completions
	done, end := 0, t.Add(d)
	for t.Before(end) {
		for len(c) < int(l.Limit(n)) {
			heap.Push(&c, completion{begun: t, end: t.Add(f(len(c) + 1))})
		}
		v := heap.Pop(&c).(completion)
		t = v.end
		l.Succeeded(t.Sub(v.begun), lavenderridge.Slots(len(c)+1), n, t)
		done++
	}
	return float64(done) / d.Seconds()
}

// TestLimiterThroughput saturates two backend servers: a weak one, which has
// capacity for half of its slots and takes 20 ms longer for each further
// request, and a strong one with capacity for all slots. Without overload they
// respond to 500 and 1000 requests per second; the limiter must reach at least
// 350 and 900.
func TestLimiterThroughput(t *testing.T) {
	weak := func(n int) time.Duration {
		return 10*time.Millisecond + time.Duration(max(0, n-5))*20*time.Millisecond
	}
	strong := func(int) time.Duration { return 10 * time.Millisecond }
	for name, v := range map[string]struct {
		f     func(int) time.Duration
		least float64
	}{"weak": {weak, 350}, "strong": {strong, 900}} {
		n := time.Unix(1000, 0)
		l := backendserver.NewLimiter(n)
		adaptive := saturate(l, 10, n, time.Minute, v.f)
		plain := saturate(backendserver.NewLimiter(n, backendserver.WithFixedLimit()), 10, n, time.Minute, v.f)
		t.Logf("%s: %.0f requests per second, %.0f with a fixed limit; the limit is %d", name, adaptive, plain, l.Limit(10))
		if adaptive < v.least {
			t.Errorf("%s: %.0f requests per second; want at least %.0f", name, adaptive, v.least)
		}
	}
}
