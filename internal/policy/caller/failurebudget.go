package caller

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// serviceSamples is the number of responses over which the failure rate of a
	// service is averaged.
	serviceSamples = 32
	// maxFailureRate is the failure rate of a service above which its failed responses
	// are not repeated: not a few targets fail, but the service or one that it calls,
	// and further runs would add to its load.
	maxFailureRate = 0.15
)

// failureBudget bounds the retries of one service that follow failed responses.
type failureBudget struct {
	*RetryBudget
	rate atomic.Uint64 // bits of the failure rate of the service, from 0 to 1
}

// newFailureBudget returns a budget that starts at t and has the parameters that f
// returns.
func newFailureBudget(f func() BudgetParameters, t time.Time) *failureBudget {
	return &failureBudget{RetryBudget: NewRetryBudget(f, t)}
}

// record updates the failure rate with a response, which has failed if f is true.
func (b *failureBudget) record(f bool) {
	o := b.rate.Load()
	r := math.Float64frombits(o)
	r -= r / serviceSamples
	if f {
		r += 1.0 / serviceSamples
	}
	b.rate.CompareAndSwap(o, math.Float64bits(r))
}

// take takes a token for a retry at the time t, and reports whether there was one and
// few responses of the service fail.
func (b *failureBudget) take(t time.Time) bool {
	return math.Float64frombits(b.rate.Load()) <= maxFailureRate && b.Take(t)
}
