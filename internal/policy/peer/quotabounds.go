package peer

import (
	"math"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Defaults of the bounds of quotas.
const (
	DefaultQuotaWindow                         = 5 * time.Second
	DefaultQuotaOverage                        = 0.25
	DefaultQuotaSlack   lavenderridge.Requests = 20
)

const (
	// maxHomes is the number of homes that share the quota of a customer.
	maxHomes = 2
	// LoanAskDelay is how long a daemon collects what it owes before it asks for it.
	LoanAskDelay = 100 * time.Millisecond
	// loansPerWindow divides the window into the times for which a loan lasts.
	loansPerWindow = 25
)

// QuotaBounds state by how much the requests of a customer at all daemons may exceed
// its quota. In any Window at most (rate * Window + burst) * (1 + Overage) + Slack
// requests run.
type QuotaBounds struct {
	Window  time.Duration
	Overage lavenderridge.Ratio
	Slack   lavenderridge.Requests
}

// DefaultQuotaBounds returns the default bounds.
func DefaultQuotaBounds() QuotaBounds {
	return QuotaBounds{Window: DefaultQuotaWindow, Overage: DefaultQuotaOverage, Slack: DefaultQuotaSlack}
}

// Most returns the largest number of requests in a window under the quota q.
func (b QuotaBounds) Most(q lavenderridge.Quota) float64 {
	return (float64(q.Rate)*b.Window.Seconds()+float64(q.Burst))*(1+float64(b.Overage)) + float64(b.Slack)
}

// LoanTime returns how long a loan may be used.
func (b QuotaBounds) LoanTime() time.Duration {
	return b.Window / loansPerWindow
}

// ReturnTime returns how long after it was asked for a loan may be returned.
func (b QuotaBounds) ReturnTime() time.Duration {
	return b.LoanTime() * 3 / 2
}

// MaxSourceAge returns the age of the newest word of the source up to which a home lends.
func (b QuotaBounds) MaxSourceAge() time.Duration {
	return b.Window
}

// TakeoverTime returns how long a new home waits, so that its predecessor has learnt of
// it or may lend no more, and the last loan has ended.
func (b QuotaBounds) TakeoverTime() time.Duration {
	return b.MaxSourceAge() + b.LoanTime()
}

// Capacity returns how much one of n homes keeps of the quota q.
func (b QuotaBounds) Capacity(q lavenderridge.Quota, n int) float64 {
	return max(float64(q.Burst)/float64(n), float64(q.Rate)/float64(n)*LoanAskDelay.Seconds(), 1)
}

// Share returns how many requests under the quota q a daemon may admit in a window beyond
// what was lent. The daemon has the rank i among n, as by LoanRank. The sum over all
// daemons fits into the bounds beside the loans.
func (b QuotaBounds) Share(q lavenderridge.Quota, i, n int) int {
	if n <= 0 || i < 0 {
		return 0
	}
	h := min(n, maxHomes)
	s := int(math.Floor(b.Most(q) - float64(q.Rate)*(b.Window+b.ReturnTime()).Seconds() - b.Capacity(q, h)*float64(h)))
	if s <= 0 {
		return 0
	}
	if i < s%n {
		return s/n + 1
	}
	return s / n
}
