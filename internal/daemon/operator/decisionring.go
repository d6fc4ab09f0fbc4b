package operator

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// A DecisionRing keeps the latest decisions, up to a number set at the start.
type DecisionRing struct {
	next  atomic.Uint64
	slots []atomic.Pointer[numbered]
}

var _ lavenderridge.Recorder = (*DecisionRing)(nil)

// numbered is a decision with its place in the order of all decisions.
type numbered struct {
	number   uint64
	decision lavenderridge.Decision
}

// NewDecisionRing returns a ring that keeps the latest n decisions.
func NewDecisionRing(n int) *DecisionRing {
	return &DecisionRing{slots: make([]atomic.Pointer[numbered], n)}
}

// Record implements lavenderridge.Recorder.
func (r *DecisionRing) Record(d lavenderridge.Decision) {
	n := &numbered{number: r.next.Add(1) - 1, decision: d}
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

// Recorded returns how many decisions have been recorded since the start.
func (r *DecisionRing) Recorded() uint64 {
	return r.next.Load()
}

// Decisions returns the latest n decisions for which f is true, oldest first.
func (r *DecisionRing) Decisions(n int, f func(d *lavenderridge.Decision) bool) []lavenderridge.Decision {
	var a []*numbered
	for i := range r.slots {
		if v := r.slots[i].Load(); v != nil && f(&v.decision) {
			a = append(a, v)
		}
	}
	slices.SortFunc(a, func(a, b *numbered) int { return cmp.Compare(a.number, b.number) })
	a = a[max(0, len(a)-n):]
	d := make([]lavenderridge.Decision, len(a))
	for i, v := range a {
		d[i] = v.decision
	}
	return d
}
