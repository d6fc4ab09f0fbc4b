package configservice

import (
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// staleRetryAfter is the time that the refusal of a request advises for which the
// catalogue is too old. Daemons ask for proofs about as often.
const staleRetryAfter = time.Second

// A FreshnessLimit refuses requests with a key while the catalogue in which the key was
// found may be too old to show that it has been taken away.
type FreshnessLimit struct {
	plan      RevocationPlan
	freshness lavenderridge.Freshness
}

// NewFreshnessLimit returns a limit by the plan p on the age that f reports.
func NewFreshnessLimit(p RevocationPlan, f lavenderridge.Freshness) *FreshnessLimit {
	return &FreshnessLimit{plan: p, freshness: f}
}

// Check returns a refusal of the request r if it has a key that was found in a catalogue
// of the version v, and that catalogue is too old. It must be called after the whole head
// of the request has arrived. Then a key that was taken away earlier than the plan's time
// before the request was sent is not in that catalogue, however late the request runs.
func (l *FreshnessLimit) Check(r *lavenderridge.Request, v lavenderridge.Version) error {
	if r.Customer == "" && r.CustomerKey == (lavenderridge.CustomerKey{}) {
		return nil
	}
	a, o := l.freshness.CatalogueAge(v)
	if o && a < l.plan.MaxAge() {
		return nil
	}
	d := fmt.Sprintf("catalogue %d is not known to have been the latest one", v)
	if o {
		d = fmt.Sprintf("catalogue %d was last known to be the latest one %s ago; keys may be used for %s", v, a.Round(time.Millisecond), l.plan.MaxAge())
	}
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonStaleCatalogue, d)
	f.RetryAfter = staleRetryAfter
	return f
}
