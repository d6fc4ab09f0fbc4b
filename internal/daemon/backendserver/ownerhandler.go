package backendserver

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// An OwnerHandler admits requests to the daemon's own backend server.
type OwnerHandler struct {
	snapshots lavenderridge.SnapshotSource
	gate      *backendserver.SlotGate
	self      func() lavenderridge.Sender
	next      lavenderridge.Handler
}

var _ lavenderridge.Handler = (*OwnerHandler)(nil)

// NewOwnerHandler returns a handler that passes admitted requests to n.
func NewOwnerHandler(s lavenderridge.SnapshotSource, g *backendserver.SlotGate, f func() lavenderridge.Sender, n lavenderridge.Handler) *OwnerHandler {
	return &OwnerHandler{snapshots: s, gate: g, self: f, next: n}
}

// Handle implements lavenderridge.Handler.
func (h *OwnerHandler) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	s := h.snapshots.Snapshot()
	if s == nil {
		return nil, h.notRun(lavenderridge.ReasonNotReady, "no configuration in force yet")
	}
	if r.Target != h.self().Instance {
		return nil, h.notRun(lavenderridge.ReasonWrongTarget, "the request is for another instance")
	}
	v := s.Service(r.Service)
	if v == nil {
		return nil, h.notRun(lavenderridge.ReasonNoRoute, "no such service")
	}
	if !h.gate.Enter(v.Slots) {
		return nil, h.notRun(lavenderridge.ReasonOverloaded, "all slots are taken")
	}
	defer h.gate.Leave()
	p, e := h.next.Handle(c, r)
	if e != nil {
		return nil, e
	}
	p.Load = lavenderridge.Load{InFlight: h.gate.InFlight(), Limit: v.Slots}
	p.Sender = h.self()
	return p, nil
}

func (h *OwnerHandler) notRun(r lavenderridge.Reason, d string) error {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, d)
	f.Place = h.self().Instance
	return f
}
