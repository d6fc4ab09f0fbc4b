package caller

import (
	"context"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

const (
	// hopShare and maxHopMargin bound the time that a hop keeps back from the
	// deadline, so that a refusal for lateness still reaches the caller.
	hopShare     = 50
	maxHopMargin = 10 * time.Millisecond
)

// A ForwardHandler gives a request to the instance that the router chooses.
// Keyed non-idempotent requests go to their home by a router of their own.
type ForwardHandler struct {
	router  lavenderridge.Router
	tracker lavenderridge.Tracker
	homes   lavenderridge.Router
	clock   lavenderridge.Clock
	peers   lavenderridge.PeerDialer
	self    func() lavenderridge.Sender
	local   lavenderridge.Handler
}

var _ Attempter = (*ForwardHandler)(nil)

// NewForwardHandler returns a handler that runs requests for this instance
// with l and forwards the others to their daemons. Keyed requests are routed
// by h, others by r; the tracker g learns from all. The function f gives the
// sender of messages.
func NewForwardHandler(r lavenderridge.Router, g lavenderridge.Tracker, h lavenderridge.Router, k lavenderridge.Clock, p lavenderridge.PeerDialer, f func() lavenderridge.Sender, l lavenderridge.Handler) *ForwardHandler {
	return &ForwardHandler{router: r, tracker: g, homes: h, clock: k, peers: p, self: f, local: l}
}

// Attempt implements Attempter.
func (h *ForwardHandler) Attempt(c context.Context, s *lavenderridge.Snapshot, r *lavenderridge.Request, x []lavenderridge.InstanceID) (lavenderridge.InstanceID, *lavenderridge.Response, error) {
	t := h.clock.Now()
	n, e := h.routerOf(r).Route(s, r, x, t)
	if e != nil {
		return "", nil, e
	}
	q := *r
	q.Target, q.Backend, q.Sender, q.Deadline = n.ID, n.Backend, h.self(), hopDeadline(r.Deadline, t)
	h.tracker.Begin(r.Service, n.ID)
	p, e := h.send(c, n, &q)
	h.track(&q, p, e)
	return n.ID, p, e
}

func (h *ForwardHandler) routerOf(r *lavenderridge.Request) lavenderridge.Router {
	if caller.Keyed(r) {
		return h.homes
	}
	return h.router
}

// send returns the whole response to this attempt. Any other reply is dropped.
func (h *ForwardHandler) send(c context.Context, n *lavenderridge.Instance, q *lavenderridge.Request) (*lavenderridge.Response, error) {
	p, e := h.handlerOf(n, q).Handle(c, q)
	if e != nil {
		return nil, e
	}
	if p == nil || p.ID != q.ID || p.Attempt != q.Attempt {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, "the reply is for another request")
	}
	return p, nil
}

func (h *ForwardHandler) handlerOf(n *lavenderridge.Instance, q *lavenderridge.Request) lavenderridge.Handler {
	if n.ID == q.Sender.Instance {
		return h.local
	}
	return h.peers.Dial(n)
}

func (h *ForwardHandler) track(q *lavenderridge.Request, p *lavenderridge.Response, e error) {
	var f *lavenderridge.Refusal
	var l lavenderridge.Load
	if e != nil {
		f = lavenderridge.AsRefusal(e)
		l = f.Load
	} else {
		l = p.Load
		h.tracker.Answered(q.Service, q.Target, q.Entry, p.Status, lavenderridge.ByteCount(len(q.Body)+len(p.Body)))
	}
	h.tracker.End(q.Service, q.Target, l, f, h.clock.Now())
}

// hopDeadline returns the deadline for the next hop at the time t.
func hopDeadline(d, t time.Time) time.Time {
	if d.IsZero() {
		return d
	}
	return d.Add(-min(d.Sub(t)/hopShare, maxHopMargin))
}
