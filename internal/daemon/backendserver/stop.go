package backendserver

import (
	"context"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// quietTime is how long no request may have come before the daemon ends.
const quietTime = 300 * time.Millisecond

// Leave makes the handler refuse new requests; those inside run to their end.
func (h *OwnerHandler) Leave() {
	t := h.clock.Now()
	h.lastRefused.Store(t.UnixNano())
	h.drain.Start()
	h.record("DrainStarted", "the daemon stops", t)
}

// Drain returns once no request is inside and none has come for a while, so
// that other daemons have heard and none is on its way; or when c ends.
func (h *OwnerHandler) Drain(c context.Context) error {
	if e := h.drain.Wait(c); e != nil {
		return e
	}
	h.record("DrainEnded", "no request is in flight", h.clock.Now())
	for {
		d := quietTime - h.clock.Now().Sub(time.Unix(0, h.lastRefused.Load()))
		if d <= 0 {
			return nil
		}
		k := time.NewTimer(d)
		select {
		case <-k.C:
		case <-c.Done():
			k.Stop()
			return c.Err()
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
