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

// failureShare is the fraction of the fleet's retries that may follow a failed
// response. A run that is repeated makes its calls again, which count as retries of
// the services that it calls, so the retries of a service leave room for those.
const failureShare = 0.2

// SplitFleetBudget divides the fleet's retries, as in FleetBudgetParameters, between
// those that follow refusals (f) and those that follow failed responses (w). There are none of
// the latter if m is too small to give each daemon a token of both.
func SplitFleetBudget(r lavenderridge.Ratio, m, n int) (f, w BudgetParameters) {
	if m < 2*n {
		return FleetBudgetParameters(r, m, n), BudgetParameters{}
	}
	return FleetBudgetParameters(r*(1-failureShare), m-n, n), BudgetParameters{Ratio: float64(r) * failureShare, Initial: 1, Max: 1}
}
