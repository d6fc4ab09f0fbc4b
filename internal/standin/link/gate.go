package link

import (
	"sync/atomic"
	"time"
)

// flowGate controls which flows pass bytes. A flow belongs to the generation in
// which it began; only flows of the current generation pass bytes.
type flowGate struct {
	generation atomic.Int64
	cut        [directionCount]atomic.Bool
	delay      atomic.Int64
}

// passes reports whether flows of the generation n pass bytes in the direction d.
func (g *flowGate) passes(n int64, d Direction) bool {
	return !g.cut[d].Load() && n == g.generation.Load()
}

// MakeHalfOpen makes all present flows half-open for good: they stay open, but
// their bytes are dropped. Flows that begin later are not affected.
func (g *flowGate) MakeHalfOpen() {
	g.generation.Add(1)
}

// Cut sets whether the bytes of all flows are held back, also of flows that begin
// during the cut.
func (g *flowGate) Cut(o bool) {
	for d := range directionCount {
		g.CutOneWay(d, o)
	}
}

// CutOneWay is like Cut for the bytes in the direction d.
func (g *flowGate) CutOneWay(d Direction, o bool) {
	g.cut[d].Store(o)
}

// Delay sets the latency d that is added to each block of bytes.
func (g *flowGate) Delay(d time.Duration) {
	g.delay.Store(int64(d))
}
