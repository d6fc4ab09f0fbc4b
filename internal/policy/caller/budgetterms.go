package caller

import "github.com/lavenderridge/lavenderridge"

// BudgetTerms tells what a RetryBudget allows at one daemon, in retries.
type BudgetTerms struct {
	// Ratio is what each request adds.
	Ratio float64
	// PerSecond is what each second adds.
	PerSecond float64
	// First is allowed at the start, and Most at once.
	First, Most float64
}

// DefaultBudgetTerms returns the terms of a daemon that knows of no bound over
// the whole fleet.
func DefaultBudgetTerms() BudgetTerms {
	return BudgetTerms{Ratio: requestShare, PerSecond: 1, First: firstTokens, Most: maxTokens}
}

// FleetBudgetTerms returns the terms of one of n daemons that together may
// retry the part r of the requests and m more in a window. Since a bucket that
// holds k gives no more than k and what was added in any window, the sum of all
// keeps the bound.
func FleetBudgetTerms(r lavenderridge.Ratio, m, n int) BudgetTerms {
	k := max(1, float64(m)/float64(max(1, n)))
	return BudgetTerms{Ratio: float64(r), First: k, Most: k}
}
