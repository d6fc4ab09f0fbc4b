package backendserver

import (
	"context"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// idleTime is how long no request must have arrived before the daemon exits.
	idleTime = 300 * time.Millisecond
	// maxIdleWait bounds the wait for that. It is as long as another daemon avoids
	// this one after a refusal.
	maxIdleWait = time.Second
)

// StopAccepting makes the handler refuse new requests. Those that it has accepted
// are still completed.
func (h *OwnerHandler) StopAccepting() {
	t := h.clock.Now()
	h.lastRefused.Store(t.UnixNano())
	h.drain.Start()
	h.record("DrainStarted", "the daemon is shutting down", t)
}

// Drain returns nil once StopAccepting was called and no request is in flight, or
// an error if c ends first.
func (h *OwnerHandler) Drain(c context.Context) error {
	if e := h.drain.Wait(c); e != nil {
		return e
	}
	h.record("DrainEnded", "no request is in flight", h.clock.Now())
	return nil
}

// WaitIdle returns nil once no request has arrived for idleTime. By then other
// daemons have learned of the shutdown and no request is in transit. It waits no
// longer than maxIdleWait, even if requests keep arriving, and returns an error
// if c ends first.
func (h *OwnerHandler) WaitIdle(c context.Context) error {
	t := h.clock.Now()
	for {
		n := h.clock.Now()
		d := min(idleTime-n.Sub(time.Unix(0, h.lastRefused.Load())), maxIdleWait-n.Sub(t))
		if d <= 0 {
			return nil
		}
		if e := lavenderridge.Sleep(c, d); e != nil {
			return e
		}
	}
}

// Load returns the load of the backend server, with its limit under the service
// d. With WithListedCapacity, the limit is that of this instance instead.
func (h *OwnerHandler) Load(d lavenderridge.ServiceID) lavenderridge.Load {
	s := h.snapshots.Snapshot()
	if s == nil {
		return h.load(nil)
	}
	if h.listed != nil {
		return h.load(nil)
	}
	return h.load(s.Service(d))
}

// Suspects returns the store of requests suspected of crashes.
func (h *OwnerHandler) Suspects() lavenderridge.SuspectStore {
	return h.suspects
}
