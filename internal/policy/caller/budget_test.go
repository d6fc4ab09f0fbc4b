package caller_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// TestAttemptsThatMayHaveRun checks that an attempt with an unknown outcome
// counts for the entry's bound of attempts and that its retry uses the budget,
// as after an attempt that is known to have reached a backend server.
func TestAttemptsThatMayHaveRun(t *testing.T) {
	n := time.Unix(1000, 0)
	p := caller.NewRetryPolicy(caller.WithFreeRerouting(), caller.WithBudget(func() caller.BudgetParameters { return caller.FleetBudgetParameters(0, 1, 1) }))
	e := &lavenderridge.Entry{Limits: lavenderridge.Limits{Attempts: 2}}
	r := &lavenderridge.Request{Service: "s", Idempotent: true, Deadline: n.Add(time.Second)}
	unknown := lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonConnectionLost, "")
	owner := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, "")
	var a caller.Attempts
	for i, v := range []struct {
		refusal *lavenderridge.Refusal
		again   bool
	}{{owner, true}, {unknown, true}, {owner, true}, {unknown, false}} {
		a.Add("n", v.refusal)
		if _, o := p.Next(e, r, &a, v.refusal, n); o != v.again {
			t.Errorf("after attempt %d: retry allowed %t; want %t", i+1, o, v.again)
		}
	}
	var b caller.Attempts
	b.Add("n", unknown)
	if _, o := p.Next(e, r, &b, unknown, n); o {
		t.Error("retry allowed although the budget is used up")
	}
}

// TestFleetBudget checks against plain counts that the retries of all daemons
// together stay within the fleet's bound in every window.
func TestFleetBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio, extra = 10 * time.Second, 0.2, 64
		k := rapid.IntRange(1, 30).Draw(t, "daemons")
		n := time.Unix(1000, 0)
		parameters := func() caller.BudgetParameters { return caller.FleetBudgetParameters(ratio, extra, k) }
		a := make([]*caller.RetryBudget, k)
		for i := range a {
			a[i] = caller.NewRetryBudget(parameters, n)
		}
		var requests, retries []time.Time
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				b := a[rapid.IntRange(0, k-1).Draw(t, "daemon")]
				for range rapid.IntRange(1, 40).Draw(t, "requests") {
					b.Deposit()
					requests = append(requests, n)
				}
			},
			"retries": func(t *rapid.T) {
				for _, b := range a {
					for range rapid.IntRange(0, 10).Draw(t, "retries") {
						if b.Take(n) {
							retries = append(retries, n)
						}
					}
				}
			},
			"time": func(t *rapid.T) {
				n = n.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				c := func(s []time.Time, d time.Duration) (m int) {
					for _, v := range s {
						if n.Sub(v) < d {
							m++
						}
					}
					return m
				}
				// A retry may use tokens that requests of the previous window added.
				if r, q := c(retries, window), c(requests, 2*window); float64(r) > ratio*float64(q)+extra+0.01 {
					t.Fatalf("%d retries in the last window for %d requests in the last two", r, q)
				}
			},
		})
	})
}
