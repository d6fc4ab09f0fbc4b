package caller

import (
	"context"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

const (
	// The deadline sent to the next hop is earlier by the remaining time divided by
	// hopMarginDivisor, at most by maxHopMargin. A refusal at that deadline still
	// reaches the caller in time.
	hopMarginDivisor = 50
	maxHopMargin     = 10 * time.Millisecond
)

// A ForwardHandler sends each attempt of a request to the instance that a router
// chooses. Keyed non-idempotent requests have a router of their own, which chooses the
// home of the key.
type ForwardHandler struct {
	router     lavenderridge.Router
	tracker    lavenderridge.Tracker
	homeRouter lavenderridge.Router
	clock      lavenderridge.Clock
	peers      lavenderridge.PeerDialer
	self       func() lavenderridge.Sender
	local      lavenderridge.Handler
	notice     func(lavenderridge.Header) lavenderridge.Notice
}

var _ Attempter = (*ForwardHandler)(nil)

// NewForwardHandler returns a handler that passes requests for this instance to l and
// forwards the others to the daemons of their instances. Keyed non-idempotent requests
// are routed by h, others by r; the tracker g records all attempts. The function f
// returns the sender of this daemon's messages.
func NewForwardHandler(r lavenderridge.Router, g lavenderridge.Tracker, h lavenderridge.Router, k lavenderridge.Clock, p lavenderridge.PeerDialer, f func() lavenderridge.Sender, l lavenderridge.Handler, o ...ForwardOption) *ForwardHandler {
	w := &ForwardHandler{
		router: r, tracker: g, homeRouter: h, clock: k, peers: p, self: f, local: l,
		notice: func(lavenderridge.Header) lavenderridge.Notice { return lavenderridge.Notice{} },
	}
	for _, v := range o {
		v(w)
	}
	return w
}

// Attempt implements Attempter.
func (h *ForwardHandler) Attempt(c context.Context, s *lavenderridge.Snapshot, r *lavenderridge.Request, x lavenderridge.Exclusion) (lavenderridge.InstanceID, *lavenderridge.Response, error) {
	t := h.clock.Now()
	n, e := h.routerOf(r).Route(s, r, x, t)
	if e != nil {
		return "", nil, e
	}
	q := *r
	q.Target, q.Backend, q.Sender, q.Deadline = n.ID, n.Backend, h.self(), hopDeadline(r.Deadline, t)
	q.Limited, q.Heard = nil, h.tracker.Begin(r.Service, n.ID, t)
	p, e := h.send(c, n, &q)
	h.recordEnd(&q, p, e)
	return n.ID, p, e
}

// routerOf returns the router for the request r.
func (h *ForwardHandler) routerOf(r *lavenderridge.Request) lavenderridge.Router {
	if caller.Keyed(r) {
		return h.homeRouter
	}
	return h.router
}

// send sends the attempt q to the instance n and returns the response. It drops a
// response to another request or attempt and returns a refusal instead.
func (h *ForwardHandler) send(c context.Context, n *lavenderridge.Instance, q *lavenderridge.Request) (*lavenderridge.Response, error) {
	p, e := h.handlerOf(n, q).Handle(c, q)
	if e != nil {
		return nil, e
	}
	if p == nil || p.ID != q.ID || p.Attempt != q.Attempt {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, "the response is for another request or attempt")
	}
	return p, nil
}

// handlerOf returns the local handler if n is this instance, and the client for the
// daemon of n otherwise.
func (h *ForwardHandler) handlerOf(n *lavenderridge.Instance, q *lavenderridge.Request) lavenderridge.Handler {
	if n.ID == q.Sender.Instance {
		return h.local
	}
	return h.peers.Dial(n)
}

// recordEnd records in the tracker that the attempt q ended with the response p or the
// error e.
func (h *ForwardHandler) recordEnd(q *lavenderridge.Request, p *lavenderridge.Response, e error) {
	var f *lavenderridge.Refusal
	var l lavenderridge.Load
	t := h.clock.Now()
	if e != nil {
		f = lavenderridge.AsRefusal(e)
		l = f.Load
		h.recordLimit(q, f, t)
	} else {
		l = p.Load
		h.tracker.Noticed(q.Service, q.Target, lavenderridge.HeardNotice{Notice: h.notice(p.Header), Backend: q.Backend, Place: q.Target}, t)
		h.tracker.Answered(q.Service, q.Target, q.Entry, p.Status, lavenderridge.ByteCount(len(q.Body)+len(p.Body)))
	}
	h.tracker.End(q.Service, q.Target, l, f, t)
}

// recordLimit records in the tracker what the refusal f of q at t says of the target's
// backend server.
func (h *ForwardHandler) recordLimit(q *lavenderridge.Request, f *lavenderridge.Refusal, t time.Time) {
	if f.Heard != nil && f.Heard.Backend == q.Backend {
		h.tracker.Noticed(q.Service, q.Target, *f.Heard, t)
	}
	if f.Reason == lavenderridge.ReasonBackendLimit {
		h.tracker.Limited(q.Service, q.Target, q.Backend, q.Class, t.Add(f.RetryAfter))
	}
}

// hopDeadline returns the deadline for the next hop, where d is the deadline at this
// one and t the present time.
func hopDeadline(d, t time.Time) time.Time {
	if d.IsZero() {
		return d
	}
	return d.Add(-min(d.Sub(t)/hopMarginDivisor, maxHopMargin))
}
