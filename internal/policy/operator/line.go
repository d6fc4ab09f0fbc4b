package operator

import "github.com/lavenderridge/lavenderridge"

// maxBurn stands for the burn rate of an objective that allows nothing to
// fail, once something has failed.
const maxBurn = 1e6

// A Line is the burn of one entry or one data centre over every daemon asked.
type Line struct {
	Name    string
	Windows [windowCount]Counts
	// Burn is the burn rate of each window; 1 uses up just what is allowed.
	Burn  [windowCount]float64
	Alert Alert

	allowed  [windowCount]float64
	measured [windowCount]Counts
}

// add counts a row. Only rows with an objective count for the burn rate.
func (l *Line) add(r *Row) {
	for w, c := range r.Windows {
		l.Windows[w] = l.Windows[w].Add(c)
		if r.Success > 0 {
			l.measured[w] = l.measured[w].Add(c)
			l.allowed[w] += float64(c.Total()) * allowedPart(r.Success)
		}
	}
}

// finish works out burn and alert once every row has been added.
func (l *Line) finish() {
	for w := range l.Burn {
		l.Burn[w] = burnRate(l.measured[w].Bad, l.allowed[w])
	}
	l.Alert = AlertOf(l.Burn)
}

func allowedPart(s lavenderridge.Ratio) float64 {
	return max(0, 1-float64(s))
}

// burnRate returns how many times over n bad requests use up the number a that
// is allowed.
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
