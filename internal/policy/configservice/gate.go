package configservice

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// pauseLimit is the gap between two beats from which on the process was
	// paused and may believe old things.
	pauseLimit = 2 * time.Second
	// catchUpLimit bounds the wait for versions that were heard of.
	catchUpLimit = 5 * time.Second
)

// A Gate keeps work away from a daemon that does not know yet which versions
// are in force: after its start, and after a pause. A contact with the source
// or a neighbour that began after the gate closed opens it. A Gate takes no
// lock.
type Gate struct {
	base    time.Time
	beat    atomic.Int64
	epoch   atomic.Uint64
	opening atomic.Pointer[opening]
	closed  chan struct{}
}

// opening is the contact that opened a gate.
type opening struct {
	epoch Epoch
	want  lavenderridge.Versions
	until time.Time
}

// NewGate returns a gate that is closed at the time t.
func NewGate(t time.Time) *Gate {
	g := &Gate{base: t, closed: make(chan struct{}, 1)}
	g.epoch.Store(1)
	return g
}

// Beat takes in that the process runs at the time t. It closes the gate, and
// reports so, when the last beat is too long ago.
func (g *Gate) Beat(t time.Time) bool {
	n := int64(t.Sub(g.base))
	o := g.beat.Load()
	p := n-o > int64(pauseLimit) && g.beat.CompareAndSwap(o, n)
	if p {
		g.close()
	}
	raise(&g.beat, n)
	return p
}

func (g *Gate) close() {
	g.epoch.Add(1)
	select {
	case g.closed <- struct{}{}:
	default:
	}
}

// Closed returns a channel that gets a value when the gate closes.
func (g *Gate) Closed() <-chan struct{} {
	return g.closed
}

// Epoch returns the present epoch. Take it before a contact begins.
func (g *Gate) Epoch() Epoch {
	return Epoch(g.epoch.Load())
}

// Open takes in a contact that began in the epoch p and told of the versions
// w. A contact that began before the gate closed does not count.
func (g *Gate) Open(p Epoch, w lavenderridge.Versions, t time.Time) {
	if o := g.opening.Load(); o != nil && o.epoch >= p {
		return
	}
	if p == g.Epoch() {
		g.opening.Store(&opening{epoch: p, want: w, until: t.Add(catchUpLimit)})
	}
}

// IsOpen reports whether a contact has been made in this epoch.
func (g *Gate) IsOpen() bool {
	o := g.opening.Load()
	return o != nil && o.epoch == g.Epoch()
}

// Ready returns nil when a daemon with the versions v in force may work at the
// time t, or a Refusal. It closes the gate when the process was paused.
func (g *Gate) Ready(v lavenderridge.Versions, t time.Time) error {
	g.Beat(t)
	o := g.opening.Load()
	if o == nil || o.epoch != g.Epoch() {
		return notReady("no contact with the source or a neighbour since the start or a pause")
	}
	if !v.Covers(o.want) && t.Before(o.until) {
		return notReady("a newer version is on its way")
	}
	return nil
}

func notReady(d string) error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotReady, d)
}
