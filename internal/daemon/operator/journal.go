package operator

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// requestRefusedEvent is the event of a caller's request that got no response
// from a backend server.
const requestRefusedEvent = "RequestRefused"

// maxEvents bounds the number of rings. The system has far fewer kinds of events.
const maxEvents = 64

// A Journal keeps the latest decisions of each event and the latest refusals of
// callers' requests. Each event has its own ring, so that a burst of one event
// does not evict the decisions of others.
type Journal struct {
	rings    *copyOnWriteMap[string, *DecisionRing]
	recorded atomic.Uint64
}

var (
	_ lavenderridge.Recorder = (*Journal)(nil)
	_ lavenderridge.Observer = (*Journal)(nil)
)

// NewJournal returns a journal that keeps the latest n decisions of each event.
func NewJournal(n int) *Journal {
	return &Journal{rings: newCopyOnWriteMap(maxEvents, func(string) *DecisionRing { return NewDecisionRing(n) })}
}

// Record implements lavenderridge.Recorder.
func (j *Journal) Record(d lavenderridge.Decision) {
	j.recorded.Add(1)
	if r, o := j.rings.get(d.Event); o {
		r.Record(d)
	}
}

// Observe implements lavenderridge.Observer. It records refusals only.
func (j *Journal) Observe(o lavenderridge.Observation) {
	if o.Refusal == nil {
		return
	}
	j.Record(lavenderridge.Decision{
		Time: o.Time, Event: requestRefusedEvent, Subject: string(o.Request), Reason: refusalReason(&o), Versions: o.Versions,
	})
}

func refusalReason(o *lavenderridge.Observation) string {
	r, c := o.Refusal, ""
	if o.Customer != "" {
		c = ", customer " + string(o.Customer)
	}
	return fmt.Sprintf("entry %s%s: %s, %s, by %s: %s", o.Entry, c, r.Reason, r.Outcome, r.Place, r.Detail)
}

// Recorded returns the number of decisions and refusals that have been recorded,
// including those no longer kept.
func (j *Journal) Recorded() uint64 {
	return j.recorded.Load()
}

// Decisions returns the latest n decisions and refusals for which f returns true,
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
