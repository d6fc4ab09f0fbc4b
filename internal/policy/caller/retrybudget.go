package caller

import (
	"sync/atomic"
	"time"
)

const (
	tokenUnits       = 1000       // units of RetryBudget.tokens in a token
	unitsPerSecond   = tokenUnits // units added per second at one token a second
	initialTokens    = 20
	maxTokens        = 100
	tokensPerRequest = 0.1 // what a request adds, in tokens
)

// A RetryBudget bounds the retries of one service with a token bucket. By
// default each request adds a tenth of a token and each second one token; the
// bucket begins with 20 tokens and holds at most 100.
type RetryBudget struct {
	tokens     atomic.Int64 // in thousandths of a token
	refilledAt atomic.Int64 // time since start
	start      time.Time
	parameters func() BudgetParameters
}

// NewRetryBudget returns a budget that starts at t. The function f returns the
// current parameters.
func NewRetryBudget(f func() BudgetParameters, t time.Time) *RetryBudget {
	b := &RetryBudget{start: t, parameters: f}
	b.tokens.Store(int64(f().Initial * tokenUnits))
	return b
}

// Deposit adds the tokens for one request.
func (b *RetryBudget) Deposit() {
	b.add(int64(b.parameters().Ratio * tokenUnits))
}

// Take takes a token for a retry at the time t, and reports whether there was
// one.
func (b *RetryBudget) Take(t time.Time) bool {
	b.refill(t.Sub(b.start))
	for {
		v := b.tokens.Load()
		if v < tokenUnits {
			return false
		}
		if b.tokens.CompareAndSwap(v, v-tokenUnits) {
			return true
		}
	}
}

// refill adds the tokens for the time since the last refill. A time too short
// for a whole unit is left to the next refill.
func (b *RetryBudget) refill(t time.Duration) {
	l := b.refilledAt.Load()
	n := int64(float64(t-time.Duration(l)) * b.parameters().PerSecond * unitsPerSecond / float64(time.Second))
	if n <= 0 || !b.refilledAt.CompareAndSwap(l, int64(t)) {
		return
	}
	b.add(n)
}

// add adds n units, up to the bound of the bucket.
func (b *RetryBudget) add(n int64) {
	m := int64(b.parameters().Max * tokenUnits)
	for {
		v := b.tokens.Load()
		w := min(v+n, m)
		if w <= v || b.tokens.CompareAndSwap(v, w) {
			return
		}
	}
}
