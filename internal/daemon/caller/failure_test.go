package caller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/caller"
	callerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// failingService is a service with some targets that respond with errors to a
// fraction of their requests. Each request takes work of simulated time.
type failingService struct {
	now     time.Time
	random  *rand.Rand
	targets int
	failing int
	rate    float64
	work    time.Duration
	runs    int
}

func (m *failingService) Now() time.Time { return m.now }

func (m *failingService) Record(lavenderridge.Decision) {}

func (m *failingService) Snapshot() *lavenderridge.Snapshot { return nil }

// Attempt runs the request at a random target outside x.
func (m *failingService) Attempt(_ context.Context, _ *lavenderridge.Snapshot, r *lavenderridge.Request, x lavenderridge.Exclusion) (lavenderridge.InstanceID, *lavenderridge.Response, error) {
	for {
		i := m.random.IntN(m.targets)
		n := lavenderridge.InstanceID(fmt.Sprintf("n-%d", i))
		if slices.Contains(x.Instances, n) {
			continue
		}
		m.runs++
		m.now = m.now.Add(m.work)
		c := 200
		if i < m.failing && m.random.Float64() < m.rate {
			c = 500
		}
		return n, &lavenderridge.Response{ID: r.ID, Attempt: r.Attempt, Status: c}, nil
	}
}

// TestFailedResponses plays 20,000 requests against targets that fail some of them and
// prints what callers get and what the retries cost, with the fleet's budget of one of
// its daemons. Under an overload, the retries must stay within their part of it.
func TestFailedResponses(t *testing.T) {
	datadriven.RunTest(t, "testdata/failures", func(t *testing.T, d *datadriven.TestData) string {
		const requests = 20_000
		var rate, work, deadline string
		attempts, daemons, extra := 2, 1, 64
		m := &failingService{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), targets: 8}
		d.ScanArgs(t, "failing", &m.failing)
		d.ScanArgs(t, "rate", &rate)
		d.ScanArgs(t, "work", &work)
		d.ScanArgs(t, "deadline", &deadline)
		d.MaybeScanArgs(t, "attempts", &attempts)
		d.MaybeScanArgs(t, "daemons", &daemons)
		d.MaybeScanArgs(t, "extra", &extra)
		_, _ = fmt.Sscan(rate, &m.rate)
		m.work = duration(t, work)
		f, w := callerpolicy.SplitFleetBudget(0.2, extra, daemons)
		p := callerpolicy.NewRetryPolicy(callerpolicy.WithFreeRerouting(),
			callerpolicy.WithBudget(func() callerpolicy.BudgetParameters { return f }),
			callerpolicy.WithFailureRetries(func() callerpolicy.BudgetParameters { return w }))
		h := caller.NewRetryHandler(p, m, m, m, m)
		e := &lavenderridge.Entry{Limits: lavenderridge.Limits{Attempts: lavenderridge.Attempt(attempts)}}
		s := lavenderridge.NewSnapshot(&lavenderridge.Catalogue{}, &lavenderridge.InstanceList{}, lavenderridge.Stamps{}, m.now)
		good := 0
		for range requests {
			r := &lavenderridge.Request{ID: "r", Service: "s", Idempotent: !d.HasArg("once"), Deadline: m.now.Add(duration(t, deadline))}
			v, e := h.HandleMatched(t.Context(), s, e, r)
			if e != nil {
				t.Fatal(e)
			}
			if v.Status == 200 {
				good++
			}
		}
		return fmt.Sprintf("served %.2f%%, retries %.2f%% of the requests\n", 100*float64(good)/requests, 100*float64(m.runs-requests)/requests)
	})
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, e := time.ParseDuration(s)
	if e != nil {
		t.Fatal(e)
	}
	return d
}
