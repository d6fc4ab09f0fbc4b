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
	v, e := p.next.Exchange(c, q)
	if e == nil {
		p.heard(v.Sender)
	}
	return v, e
}

// Pull implements lavenderridge.Peer.
func (p *hearingClient) Pull(c context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	v, e := p.next.Pull(c, q)
	if e == nil {
		p.heard(v.Sender)
	}
	return v, e
}

// Activate implements lavenderridge.Peer.
func (p *hearingClient) Activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	v, e := p.next.Activate(c, q)
	if e == nil {
		p.heard(v.Sender)
	}
	return v, e
}

// HandOver implements lavenderridge.Peer.
func (p *hearingClient) HandOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	v, e := p.next.HandOver(c, q)
	if e == nil {
		p.heard(v.Sender)
	}
	return v, e
}
