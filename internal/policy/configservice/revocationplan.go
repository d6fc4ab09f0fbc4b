package configservice

import "time"

// Shares of the time within which a revocation holds.
const (
	// maxAgeShare is the age of the catalogue from which on requests with a key are
	// refused. The rest allows for clocks of different rates and for a source that reports
	// a change late.
	maxAgeShare = 0.8
	// revocationWatchShare is the longest wait of a reader's watch.
	revocationWatchShare = 0.15
	// askShare is the mean interval at which a daemon asks another one for a proof, and
	// the age below which it doesn't. A reader asks only from readerAskShare on.
	askShare       = 0.2
	readerAskShare = 0.4
	// ownReadShare is the age from which on a daemon reads the source itself, and
	// ownReadJitterShare the longest delay of that.
	ownReadShare       = 0.6
	ownReadJitterShare = 0.1
)

// MinRevokeWithin is the shortest time within which a revocation can hold everywhere
// without refusals in calm.
const MinRevokeWithin = 2 * time.Second

// A RevocationPlan decides how daemons keep the proofs of their catalogue fresh enough for
// a revocation to hold within a time. The zero value is for daemons that need no proofs.
type RevocationPlan struct {
	within time.Duration
}

// NewRevocationPlan returns the plan with which a request that arrives later than d after
// the source has acknowledged the revocation of its key is refused everywhere.
func NewRevocationPlan(d time.Duration) RevocationPlan {
	return RevocationPlan{within: d}
}

// Enabled reports whether proofs are needed.
func (p RevocationPlan) Enabled() bool {
	return p.within > 0
}

// MaxAge returns the age of the catalogue from which on requests with a key are refused.
func (p RevocationPlan) MaxAge() time.Duration {
	return p.share(maxAgeShare)
}

// CalmAge returns the highest age of the catalogue while no call fails or is slow: a
// reader's answer is as old as its watch, the next one follows a pause and another watch,
// and the other daemons ask once in an interval.
func (p RevocationPlan) CalmAge() time.Duration {
	return 2*(followWatchPause+p.MaxWatchWait()) + p.AskInterval(1)
}

// MaxWatchWait returns the longest wait of a reader's watch.
func (p RevocationPlan) MaxWatchWait() time.Duration {
	return p.share(revocationWatchShare)
}

// AskInterval returns the time until the daemon next decides whether to ask another one.
// The random number r in [0, 1) spreads the calls.
func (p RevocationPlan) AskInterval(r float64) time.Duration {
	return p.share(askShare * (4 + 2*r) / 5)
}

// Asks reports whether a daemon asks another one for a proof when its own one has the age
// a. The flag i is true for a reader.
func (p RevocationPlan) Asks(a time.Duration, i bool) bool {
	if i {
		return a >= p.share(readerAskShare)
	}
	return a >= p.share(askShare)
}

// Improves reports whether the age a after an answer shows that the daemon that gave it
// should be asked again.
func (p RevocationPlan) Improves(a time.Duration) bool {
	return a < p.share(readerAskShare)
}

// watchWait returns the wait d of a reader's watch, shortened as needed.
func (p RevocationPlan) watchWait(d time.Duration) time.Duration {
	if !p.Enabled() {
		return d
	}
	return min(d, p.MaxWatchWait())
}

// readsSource reports whether a daemon of the catalogue age a reads the source although it
// is not a reader.
func (p RevocationPlan) readsSource(a time.Duration) bool {
	return p.Enabled() && a >= p.share(ownReadShare)
}

// readWindow returns the longest delay of such a read in the state s. It is short until
// requests are refused.
func (p RevocationPlan) readWindow(s ReadState) time.Duration {
	if !p.readsSource(s.CatalogueAge) || s.CatalogueAge >= p.within {
		return jitterWindow(meanReadInterval(s.FleetSize), s.Failures)
	}
	return max(p.share(ownReadJitterShare), fleetInterval(s.FleetSize))
}

func (p RevocationPlan) share(f float64) time.Duration {
	return scale(p.within, f)
}
