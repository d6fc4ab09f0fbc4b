package caller

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A RetryOption changes a RetryPolicy.
type RetryOption func(*RetryPolicy)

// WithBackoff sets d as the bound of the first wait, which doubles with each
// attempt, and m as the bound of every wait.
func WithBackoff(d, m time.Duration) RetryOption {
	return func(p *RetryPolicy) { p.backoff, p.maxBackoff = d, m }
}

// WithJitter replaces the random numbers that scale each wait. The function f
// returns a number from 0 to below 1.
func WithJitter(f func() float64) RetryOption {
	return func(p *RetryPolicy) { p.random = f }
}

// WithAttempts sets the bound of attempts for entries that set none; the
// default is 3.
func WithAttempts(n lavenderridge.Attempt) RetryOption {
	return func(p *RetryPolicy) { p.attempts = n }
}

// WithBudget makes the retry budgets use the parameters that f returns. The
// function f is called at each use of a budget, so the parameters may change.
func WithBudget(f func() BudgetParameters) RetryOption {
	return func(p *RetryPolicy) { p.budgetParameters = f }
}

// WithFreeRerouting makes retries after attempts that reached no backend server
// use no budget and wait no time. They have a bound of their own.
func WithFreeRerouting() RetryOption {
	return func(p *RetryPolicy) { p.freeRerouting = true }
}

// WithFailureRetries makes the policy repeat idempotent requests to which a backend
// server responded with its own error. They use budgets of their own, with the
// parameters that f returns.
func WithFailureRetries(f func() BudgetParameters) RetryOption {
	return func(p *RetryPolicy) { p.failureParameters = f }
}
