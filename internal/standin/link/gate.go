package link

import "sync/atomic"

// gate decides which flows pass bytes. A flow belongs to the generation in
// which it began.
type gate struct {
	generation atomic.Int64
	cut        atomic.Bool
}

func (g *gate) passes(n int64) bool {
	return !g.cut.Load() && n == g.generation.Load()
}

// Silence stops the bytes of all flows that exist now, for good. Flows that
// begin later work.
func (g *gate) Silence() {
	g.generation.Add(1)
}

// Cut stops the bytes of all flows while o is set, later ones included.
func (g *gate) Cut(o bool) {
	g.cut.Store(o)
}
