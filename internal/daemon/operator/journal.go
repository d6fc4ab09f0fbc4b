package operator

import (
	"fmt"
	"slices"

	"github.com/lavenderridge/lavenderridge"
)

// requestRefused is the event of a caller's request that got no answer from a
// backend server.
const requestRefused = "RequestRefused"

// A Journal keeps recent decisions and recent refusals of callers' requests,
// each in a ring of its own, so that a burst of refusals drives out no other
// decision.
type Journal struct {
	decisions *DecisionRing
	refusals  *DecisionRing
}

var (
	_ lavenderridge.Recorder = (*Journal)(nil)
	_ lavenderridge.Observer = (*Journal)(nil)
)

// NewJournal returns a journal that keeps the latest n decisions and as many
// refusals.
func NewJournal(n int) *Journal {
	return &Journal{decisions: NewDecisionRing(n), refusals: NewDecisionRing(n)}
}

// Record implements lavenderridge.Recorder.
func (j *Journal) Record(d lavenderridge.Decision) {
	j.decisions.Record(d)
}

// Observe implements lavenderridge.Observer.
func (j *Journal) Observe(o lavenderridge.Observation) {
	if o.Refusal == nil {
		return
	}
	j.refusals.Record(lavenderridge.Decision{
		Time: o.Time, Event: requestRefused, Subject: string(o.Request), Reason: refusalReason(&o), Versions: o.Versions,
	})
}

func refusalReason(o *lavenderridge.Observation) string {
	r := o.Refusal
	return fmt.Sprintf("entry %s: %s, %s, by %s: %s", o.Entry, r.Reason, r.Outcome, r.Place, r.Detail)
}

// Recorded returns how many decisions and refusals have been recorded since
// the start.
func (j *Journal) Recorded() uint64 {
	return j.decisions.Recorded() + j.refusals.Recorded()
}

// Decisions returns the latest n decisions and refusals for which f is true,
// oldest first.
func (j *Journal) Decisions(n int, f func(d *lavenderridge.Decision) bool) []lavenderridge.Decision {
	a := slices.Concat(j.decisions.Decisions(n, f), j.refusals.Decisions(n, f))
	slices.SortStableFunc(a, func(a, b lavenderridge.Decision) int { return a.Time.Compare(b.Time) })
	return a[max(0, len(a)-n):]
}
