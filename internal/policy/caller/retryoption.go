package caller

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A RetryOption changes a RetryPolicy.
type RetryOption func(*RetryPolicy)

// WithBackoff sets the bound of the first wait and that of all later ones.
func WithBackoff(d, m time.Duration) RetryOption {
	return func(p *RetryPolicy) { p.backoff, p.maxBackoff = d, m }
}

// WithJitter replaces the random part of each wait, from 0 to below 1.
func WithJitter(f func() float64) RetryOption {
	return func(p *RetryPolicy) { p.random = f }
}

// WithAttempts bounds the attempts of entries that set no bound; the default
// is three.
func WithAttempts(n lavenderridge.Attempt) RetryOption {
	return func(p *RetryPolicy) { p.attempts = n }
}

// WithBudget makes the retry budgets follow the terms that f returns.
func WithBudget(f func() BudgetTerms) RetryOption {
	return func(p *RetryPolicy) { p.terms = f }
}

// WithFreeRerouting makes retries free after attempts that have reached no
// backend server.
func WithFreeRerouting() RetryOption {
	return func(p *RetryPolicy) { p.free = true }
}
