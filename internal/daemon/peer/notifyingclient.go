package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// notifyingClient is a client for another daemon. It calls the function notify with
// the sender of each reply.
type notifyingClient struct {
	next   lavenderridge.Peer
	notify func(lavenderridge.Sender)
}

var _ lavenderridge.Peer = (*notifyingClient)(nil)

// Handle implements lavenderridge.Handler.
func (p *notifyingClient) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	v, e := p.next.Handle(c, r)
	if e == nil {
		p.notify(v.Sender)
		return v, nil
	}
	if f := lavenderridge.AsRefusal(e); f.Versions != (lavenderridge.Versions{}) {
		p.notify(lavenderridge.Sender{Instance: f.Place, Stamps: f.Versions.Stamps()})
	}
	return nil, e
}

// Exchange implements lavenderridge.Peer.
func (p *notifyingClient) Exchange(c context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	return callAndNotify(c, p, q, p.next.Exchange, func(v *lavenderridge.Exchange) lavenderridge.Sender { return v.Sender })
}

// Pull implements lavenderridge.Peer.
func (p *notifyingClient) Pull(c context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	return callAndNotify(c, p, q, p.next.Pull, func(v *lavenderridge.PullReply) lavenderridge.Sender { return v.Sender })
}

// Activate implements lavenderridge.Peer.
func (p *notifyingClient) Activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	return callAndNotify(c, p, q, p.next.Activate, func(v *lavenderridge.ActivationReply) lavenderridge.Sender { return v.Sender })
}

// HandOver implements lavenderridge.Peer.
func (p *notifyingClient) HandOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return callAndNotify(c, p, q, p.next.HandOver, func(v *lavenderridge.HandOverReply) lavenderridge.Sender { return v.Sender })
}

// Borrow implements lavenderridge.Peer. Its reply carries no versions.
func (p *notifyingClient) Borrow(c context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error) {
	return p.next.Borrow(c, q)
}

// callAndNotify calls f with q and, if it succeeds, calls p.notify with the sender of
// the reply. The function s returns the sender of a reply.
func callAndNotify[Q, V any](c context.Context, p *notifyingClient, q *Q, f func(context.Context, *Q) (*V, error), s func(*V) lavenderridge.Sender) (*V, error) {
	v, e := f(c, q)
	if e == nil {
		p.notify(s(v))
	}
	return v, e
}
