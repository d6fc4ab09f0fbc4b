package configservice

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// maxHeartbeatGap is the longest gap between two heartbeats of a running
	// process. After a longer one the process is taken to have been paused, and
	// its versions may be out of date.
	maxHeartbeatGap = 2 * time.Second
	// maxCatchUpWait limits how long a daemon refuses work because it has not
	// received the versions that a contact reported.
	maxCatchUpWait = 5 * time.Second
)

// A ReadinessGate makes a daemon refuse work while its versions may be out of
// date: after its start and after a pause of the process. A contact with the
// source or a neighbour that began after the gate closed opens it. The gate uses
// no locks.
type ReadinessGate struct {
	base time.Time
	// lastHeartbeat is the time of the latest heartbeat, in nanoseconds since base.
	lastHeartbeat atomic.Int64
	epoch         atomic.Uint64
	lastContact   atomic.Pointer[contactRecord]
	// closed receives a value when the gate closes again.
	closed chan struct{}
}

// contactRecord describes the contact that opened a gate.
type contactRecord struct {
	epoch     Epoch
	versions  lavenderridge.Versions
	waitUntil time.Time
}

// NewReadinessGate returns a closed gate. The time t is the first heartbeat.
func NewReadinessGate(t time.Time) *ReadinessGate {
	g := &ReadinessGate{base: t, closed: make(chan struct{}, 1)}
	g.epoch.Store(1)
	return g
}

// Heartbeat records that the process was running at the time t. If the previous
// heartbeat is more than maxHeartbeatGap ago, it closes the gate and returns
// true.
func (g *ReadinessGate) Heartbeat(t time.Time) bool {
	n := int64(t.Sub(g.base))
	o := g.lastHeartbeat.Load()
	p := n-o > int64(maxHeartbeatGap) && g.lastHeartbeat.CompareAndSwap(o, n)
	if p {
		g.close()
	}
	storeMax(&g.lastHeartbeat, n)
	return p
}

func (g *ReadinessGate) close() {
	g.epoch.Add(1)
	select {
	case g.closed <- struct{}{}:
	default:
	}
}

// Closed returns a channel that receives a value when the gate closes again
// after a pause.
func (g *ReadinessGate) Closed() <-chan struct{} {
	return g.closed
}

// Epoch returns the current epoch. Callers read it before they begin a contact
// and pass it to Open.
func (g *ReadinessGate) Epoch() Epoch {
	return Epoch(g.epoch.Load())
}

// Open records a contact that began in the epoch p, ended at the time t and
// reported the versions w. It ignores a contact that began before the gate
// closed, and all but the first one of an epoch.
func (g *ReadinessGate) Open(p Epoch, w lavenderridge.Versions, t time.Time) {
	if o := g.lastContact.Load(); o != nil && o.epoch >= p {
		return
	}
	if p == g.Epoch() {
		g.lastContact.Store(&contactRecord{epoch: p, versions: w, waitUntil: t.Add(maxCatchUpWait)})
	}
}

// IsOpen reports whether a contact has been recorded in the current epoch.
func (g *ReadinessGate) IsOpen() bool {
	o := g.lastContact.Load()
	return o != nil && o.epoch == g.Epoch()
}

// Ready returns nil if a daemon with the accepted versions v may handle requests
// at the time t, and a Refusal otherwise. It counts as a heartbeat, so that a
// request that arrives right after a pause is refused.
func (g *ReadinessGate) Ready(v lavenderridge.Versions, t time.Time) error {
	g.Heartbeat(t)
	o := g.lastContact.Load()
	if o == nil || o.epoch != g.Epoch() {
		return notReady("no contact with the source or a neighbour since the start or a pause")
	}
	if !v.Covers(o.versions) && t.Before(o.waitUntil) {
		return notReady("a newer version has been reported but not received yet")
	}
	return nil
}

// notReady returns a refusal with the detail d.
func notReady(d string) error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotReady, d)
}
