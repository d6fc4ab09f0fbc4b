package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// hearingClient is another daemon whose replies are listened to.
type hearingClient struct {
	next  lavenderridge.Peer
	heard func(lavenderridge.Sender)
}

var _ lavenderridge.Peer = (*hearingClient)(nil)

// Handle implements lavenderridge.Handler.
func (p *hearingClient) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	v, e := p.next.Handle(c, r)
	if e == nil {
		p.heard(v.Sender)
		return v, nil
	}
	if f := lavenderridge.AsRefusal(e); f.Versions != (lavenderridge.Versions{}) {
		p.heard(lavenderridge.Sender{Instance: f.Place, Stamps: f.Versions.Stamps()})
	}
	return nil, e
}

// Exchange implements lavenderridge.Peer.
func (p *hearingClient) Exchange(c context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	return hear(c, p, q, p.next.Exchange, func(v *lavenderridge.Exchange) lavenderridge.Sender { return v.Sender })
}

// Pull implements lavenderridge.Peer.
func (p *hearingClient) Pull(c context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	return hear(c, p, q, p.next.Pull, func(v *lavenderridge.PullReply) lavenderridge.Sender { return v.Sender })
}

// Activate implements lavenderridge.Peer.
func (p *hearingClient) Activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	return hear(c, p, q, p.next.Activate, func(v *lavenderridge.ActivationReply) lavenderridge.Sender { return v.Sender })
}

// HandOver implements lavenderridge.Peer.
func (p *hearingClient) HandOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return hear(c, p, q, p.next.HandOver, func(v *lavenderridge.HandOverReply) lavenderridge.Sender { return v.Sender })
}

// hear makes the call f and listens to the sender s of its reply.
func hear[Q, V any](c context.Context, p *hearingClient, q *Q, f func(context.Context, *Q) (*V, error), s func(*V) lavenderridge.Sender) (*V, error) {
	v, e := f(c, q)
	if e == nil {
		p.heard(s(v))
	}
	return v, e
}
