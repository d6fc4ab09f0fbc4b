package backendserver

import (
	"context"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// quietTime is how long no request may have come before the daemon ends.
	quietTime = 300 * time.Millisecond
	// maxQuietWait bounds the wait for that: the time for which a daemon that was
	// refused leaves this one out.
	maxQuietWait = time.Second
)

// Leave makes the handler refuse new requests; those inside run to their end.
func (h *OwnerHandler) Leave() {
	t := h.clock.Now()
	h.lastRefused.Store(t.UnixNano())
	h.drain.Start()
	h.record("DrainStarted", "the daemon stops", t)
}

// Drain returns once no request is inside, or with an error when c ends.
func (h *OwnerHandler) Drain(c context.Context) error {
	if e := h.drain.Wait(c); e != nil {
		return e
	}
	h.record("DrainEnded", "no request is in flight", h.clock.Now())
	return nil
}

// Quiet returns once no request has come for a while, so that other daemons have
// heard of the stop and none is on its way; or with an error when c ends. Daemons
// that go on sending hold it up for maxQuietWait at most.
func (h *OwnerHandler) Quiet(c context.Context) error {
	t := h.clock.Now()
	for {
		n := h.clock.Now()
		d := min(quietTime-n.Sub(time.Unix(0, h.lastRefused.Load())), maxQuietWait-n.Sub(t))
		if d <= 0 {
			return nil
		}
		if e := lavenderridge.Sleep(c, d); e != nil {
			return e
		}
	}
}

// Load returns what the backend server bears under the service d.
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
