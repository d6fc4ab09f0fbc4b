package operator

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// requestRefused is the event of a caller's request that got no answer from a
// backend server.
const requestRefused = "RequestRefused"

// maxEvents bounds the events that are kept; there are far fewer.
const maxEvents = 64

// A Journal keeps the recent decisions of each event and the recent refusals
// of callers' requests. Each event has a ring of its own, so that a burst of
// one drives out no other.
type Journal struct {
	rings    *copyMap[string, *DecisionRing]
	recorded atomic.Uint64
}

var (
	_ lavenderridge.Recorder = (*Journal)(nil)
	_ lavenderridge.Observer = (*Journal)(nil)
)

// NewJournal returns a journal that keeps the latest n decisions of each event.
func NewJournal(n int) *Journal {
	return &Journal{rings: newCopyMap(maxEvents, func(string) *DecisionRing { return NewDecisionRing(n) })}
}

// Record implements lavenderridge.Recorder.
func (j *Journal) Record(d lavenderridge.Decision) {
	j.recorded.Add(1)
	if r, o := j.rings.get(d.Event); o {
		r.Record(d)
	}
}

// Observe implements lavenderridge.Observer.
func (j *Journal) Observe(o lavenderridge.Observation) {
	if o.Refusal == nil {
		return
	}
	j.Record(lavenderridge.Decision{
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
	return j.recorded.Load()
}

// Decisions returns the latest n decisions and refusals for which f is true,
// oldest first.
func (j *Journal) Decisions(n int, f func(d *lavenderridge.Decision) bool) []lavenderridge.Decision {
	a := []lavenderridge.Decision{}
	for _, r := range j.rings.all() {
		a = append(a, r.Decisions(n, f)...)
	}
	slices.SortStableFunc(a, func(a, b lavenderridge.Decision) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event))
	})
	return a[max(0, len(a)-n):]
}
