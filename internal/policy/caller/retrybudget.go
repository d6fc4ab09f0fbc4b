package caller

import (
	"sync/atomic"
	"time"
)

const (
	token        = 1000 // a token in the unit of RetryBudget
	secondShare  = token
	firstTokens  = 20
	maxTokens    = 100
	requestShare = 0.1 // what a request adds, in tokens
)

// A RetryBudget bounds the retries of one service: by default a tenth of its
// requests and one in a second, with 20 at the start and at most 100 at once.
type RetryBudget struct {
	tokens atomic.Int64
	filled atomic.Int64 // time since start
	start  time.Time
	terms  func() BudgetTerms
}

// NewRetryBudget returns a budget that starts at t. The function f gives the
// terms in force.
func NewRetryBudget(f func() BudgetTerms, t time.Time) *RetryBudget {
	b := &RetryBudget{start: t, terms: f}
	b.tokens.Store(int64(f().First * token))
	return b
}

// Deposit adds the share of one request.
func (b *RetryBudget) Deposit() {
	b.add(int64(b.terms().Ratio * token))
}

// Take takes a token for a retry at the time t, and reports whether there was
// one.
func (b *RetryBudget) Take(t time.Time) bool {
	b.fill(t.Sub(b.start))
	for {
		v := b.tokens.Load()
		if v < token {
			return false
		}
		if b.tokens.CompareAndSwap(v, v-token) {
			return true
		}
	}
}

func (b *RetryBudget) fill(t time.Duration) {
	l := b.filled.Load()
	n := int64(float64(t-time.Duration(l)) * b.terms().PerSecond * secondShare / float64(time.Second))
	if n <= 0 || !b.filled.CompareAndSwap(l, int64(t)) {
		return
	}
	b.add(n)
}

func (b *RetryBudget) add(n int64) {
	m := int64(b.terms().Most * token)
	for {
		v := b.tokens.Load()
		w := min(v+n, m)
		if w <= v || b.tokens.CompareAndSwap(v, w) {
			return
		}
	}
}
