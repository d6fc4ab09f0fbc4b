package operator

import "github.com/lavenderridge/lavenderridge"

// maxBurn is the highest burn rate. It is reported for a failed request under an
// objective that allows no failures, where the rate would be infinite.
const maxBurn = 1e6

// A ReportLine holds the counts and burn rates of one entry or one data centre,
// summed over all queried daemons.
type ReportLine struct {
	// Name is the ID of the entry or data centre.
	Name string
	// Windows holds the requests of each window, also those without an objective.
	Windows [windowCount]Counts
	// Burn is the burn rate of each window; 1 uses up exactly the error budget.
	Burn  [windowCount]float64
	Alert Alert

	// allowed is the error budget of each window: the number of requests that
	// the objectives allow to fail.
	allowed [windowCount]float64
	// measured holds the requests of each window that have an objective.
	measured [windowCount]Counts
}

// add adds the counts of a row. Only rows with an objective count for the burn
// rate.
func (l *ReportLine) add(r *Row) {
	for w, c := range r.Windows {
		l.Windows[w] = l.Windows[w].Add(c)
		if r.Success > 0 {
			l.measured[w] = l.measured[w].Add(c)
			l.allowed[w] += float64(c.Total()) * allowedRatio(r.Success)
		}
	}
}

// finish computes the burn rates and the alert after all rows have been added.
func (l *ReportLine) finish() {
	for w := range l.Burn {
		l.Burn[w] = burnRate(l.measured[w].Bad, l.allowed[w])
	}
	l.Alert = AlertOf(l.Burn)
}

// allowedRatio returns the fraction of requests that may fail under the success
// objective s.
func allowedRatio(s lavenderridge.Ratio) float64 {
	return max(0, 1-float64(s))
}

// burnRate returns the number n of bad requests divided by the number a that is
// allowed, at most maxBurn.
func burnRate(n uint64, a float64) float64 {
	switch {
	case n == 0:
		return 0
	case float64(n) >= maxBurn*a:
		return maxBurn
	default:
		return float64(n) / a
	}
}
