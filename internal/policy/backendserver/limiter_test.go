package backendserver_test

import (
	"container/heap"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// completions is a heap of the times at which requests end.
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

// saturate keeps a backend server as busy as l allows for the time d, and
// returns how many requests it answered in a second. A request that begins as
// the nth in flight takes f(n).
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

// TestLimiterFindsWhatIsBorne saturates a backend server that bears half of its
// slots and slows by 20 ms for each request above, and one that bears all.
func TestLimiterFindsWhatIsBorne(t *testing.T) {
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
		t.Logf("%s: %.0f in a second, %.0f with a fixed limit; the limit is %d", name, adaptive, plain, l.Limit(10))
		if adaptive < v.least {
			t.Errorf("%s: %.0f in a second; want %.0f", name, adaptive, v.least)
		}
	}
}
