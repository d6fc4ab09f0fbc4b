package caller

import "github.com/lavenderridge/lavenderridge"

// BudgetParameters holds the parameters of a RetryBudget at one daemon, in
// tokens. A retry takes one token.
type BudgetParameters struct {
	// Ratio is the number of tokens that each request adds.
	Ratio float64
	// PerSecond is the number of tokens that each second adds.
	PerSecond float64
	// Initial is the number of tokens at the start, and Max the capacity of the
	// bucket.
	Initial, Max float64
}

// DefaultBudgetParameters returns the parameters for a daemon where no bound
// over the whole fleet is set.
func DefaultBudgetParameters() BudgetParameters {
	return BudgetParameters{Ratio: tokensPerRequest, PerSecond: 1, Initial: initialTokens, Max: maxTokens}
}

// FleetBudgetParameters returns the parameters for one of n daemons that
// together may retry the fraction r of all requests and m more in any window of
// time. A bucket of capacity k supplies at most k tokens plus those added in the
// window, so the sum over all daemons stays within the bound.
func FleetBudgetParameters(r lavenderridge.Ratio, m, n int) BudgetParameters {
	k := max(1, float64(m)/float64(max(1, n)))
	return BudgetParameters{Ratio: float64(r), Initial: k, Max: k}
}
