package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A ForwardHandler gives a request to the instance that the router chooses.
// Keyed non-idempotent requests go to their home by a router of their own.
type ForwardHandler struct {
	router lavenderridge.Router
	homes  lavenderridge.Router
	clock  lavenderridge.Clock
	peers  lavenderridge.PeerDialer
	self   func() lavenderridge.Sender
	local  lavenderridge.Handler
}

var _ SnapshotHandler = (*ForwardHandler)(nil)

// NewForwardHandler returns a handler that runs requests for this instance
// with l and forwards the others to their daemons. Keyed requests are routed
// by h, others by r. The function f gives the sender of messages.
func NewForwardHandler(r, h lavenderridge.Router, k lavenderridge.Clock, p lavenderridge.PeerDialer, f func() lavenderridge.Sender, l lavenderridge.Handler) *ForwardHandler {
	return &ForwardHandler{router: r, homes: h, clock: k, peers: p, self: f, local: l}
}

// HandleIn implements SnapshotHandler.
func (h *ForwardHandler) HandleIn(c context.Context, s *lavenderridge.Snapshot, _ *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	n, e := h.routerOf(r).Route(s, r, nil, h.clock.Now())
	if e != nil {
		return nil, e
	}
	r.Attempt++
	r.Target, r.Sender = n.ID, h.self()
	if n.ID == r.Sender.Instance {
		return h.local.Handle(c, r)
	}
	return h.peers.Dial(n).Handle(c, r)
}

func (h *ForwardHandler) routerOf(r *lavenderridge.Request) lavenderridge.Router {
	if r.Key != "" && !r.Idempotent {
		return h.homes
	}
	return h.router
}
