package caller

import (
	"sync/atomic"
	"time"
)

const (
	token        = 1000 // a token in the unit of RetryBudget
	requestShare = 100  // what a request adds: a tenth of a token
	secondShare  = token
	firstTokens  = 20 * token
	maxTokens    = 100 * token
)

// A RetryBudget bounds the retries of one service: a tenth of its requests
// and one in a second, with 20 at the start and at most 100 at once.
type RetryBudget struct {
	tokens atomic.Int64
	filled atomic.Int64 // time since start
	start  time.Time
}

// NewRetryBudget returns a budget that starts at t.
func NewRetryBudget(t time.Time) *RetryBudget {
	b := &RetryBudget{start: t}
	b.tokens.Store(firstTokens)
	return b
}

// Deposit adds the share of one request.
func (b *RetryBudget) Deposit() {
	b.add(requestShare)
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
	n := int64(t-time.Duration(l)) * secondShare / int64(time.Second)
	if n <= 0 || !b.filled.CompareAndSwap(l, int64(t)) {
		return
	}
	b.add(n)
}

func (b *RetryBudget) add(n int64) {
	for {
		v := b.tokens.Load()
		w := min(v+n, maxTokens)
		if w <= v || b.tokens.CompareAndSwap(v, w) {
			return
		}
	}
}
