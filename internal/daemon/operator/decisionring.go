package operator

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// A DecisionRing is a ring buffer of the latest decisions with a fixed size. Its
// methods may be called concurrently and take no lock.
type DecisionRing struct {
	next  atomic.Uint64
	slots []atomic.Pointer[numberedDecision]
}

var _ lavenderridge.Recorder = (*DecisionRing)(nil)

// numberedDecision is a decision with its sequence number.
type numberedDecision struct {
	number   uint64
	decision lavenderridge.Decision
}

// NewDecisionRing returns a ring that keeps the latest n decisions.
func NewDecisionRing(n int) *DecisionRing {
	return &DecisionRing{slots: make([]atomic.Pointer[numberedDecision], n)}
}

// Record implements lavenderridge.Recorder. If a later decision has already taken
// the slot, d is dropped, as it would have been overwritten anyway.
func (r *DecisionRing) Record(d lavenderridge.Decision) {
	n := &numberedDecision{number: r.next.Add(1) - 1, decision: d}
	p := &r.slots[n.number%uint64(len(r.slots))]
	for {
		o := p.Load()
		if o != nil && o.number > n.number {
			return
		}
		if p.CompareAndSwap(o, n) {
			return
		}
	}
}

// Recorded returns the number of calls of Record.
func (r *DecisionRing) Recorded() uint64 {
	return r.next.Load()
}

// Decisions returns the latest n decisions for which f returns true, oldest
// first.
func (r *DecisionRing) Decisions(n int, f func(d *lavenderridge.Decision) bool) []lavenderridge.Decision {
	var a []*numberedDecision
	for i := range r.slots {
		if v := r.slots[i].Load(); v != nil && f(&v.decision) {
			a = append(a, v)
		}
	}
	slices.SortFunc(a, func(a, b *numberedDecision) int { return cmp.Compare(a.number, b.number) })
	a = a[max(0, len(a)-n):]
	d := make([]lavenderridge.Decision, len(a))
	for i, v := range a {
		d[i] = v.decision
	}
	return d
}
