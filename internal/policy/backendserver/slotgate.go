package backendserver

import (
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// A SlotGate bounds the requests that run at once.
type SlotGate struct {
	used atomic.Int64
}

// NewSlotGate returns a gate with no request in it.
func NewSlotGate() *SlotGate {
	return &SlotGate{}
}

// Enter takes a slot if fewer than n are taken, and reports whether it did.
func (g *SlotGate) Enter(n lavenderridge.Slots) bool {
	for {
		u := g.used.Load()
		if u >= int64(n) {
			return false
		}
		if g.used.CompareAndSwap(u, u+1) {
			return true
		}
	}
}

// Leave gives a slot back.
func (g *SlotGate) Leave() {
	g.used.Add(-1)
}

// InFlight returns the number of slots taken.
func (g *SlotGate) InFlight() lavenderridge.Slots {
	return lavenderridge.Slots(g.used.Load())
}
