package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A HearingPeer passes on the sender of every call that other daemons make, so
// that a newer version is noticed on any message. Its refusals tell the versions
// in force here.
type HearingPeer struct {
	next  lavenderridge.Peer
	self  func() lavenderridge.Sender
	heard func(lavenderridge.Sender)
}

var _ lavenderridge.Peer = (*HearingPeer)(nil)

// NewHearingPeer returns a peer that answers as p does and calls f with the
// sender of each call first. The function s gives the sender of its own
// messages. The function f must not block.
func NewHearingPeer(p lavenderridge.Peer, s func() lavenderridge.Sender, f func(lavenderridge.Sender)) *HearingPeer {
	return &HearingPeer{next: p, self: s, heard: f}
}

// Handle implements lavenderridge.Handler.
func (p *HearingPeer) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	p.heard(r.Sender)
	v, e := p.next.Handle(c, r)
	if e == nil {
		return v, nil
	}
	f := *lavenderridge.AsRefusal(e)
	f.Versions = p.self().Stamps.Versions()
	return nil, &f
}

// Exchange implements lavenderridge.Peer.
func (p *HearingPeer) Exchange(c context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	p.heard(q.Sender)
	return p.next.Exchange(c, q)
}

// Pull implements lavenderridge.Peer.
func (p *HearingPeer) Pull(c context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	p.heard(q.Sender)
	return p.next.Pull(c, q)
}

// Activate implements lavenderridge.Peer.
func (p *HearingPeer) Activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	p.heard(q.Sender)
	return p.next.Activate(c, q)
}

// HandOver implements lavenderridge.Peer.
func (p *HearingPeer) HandOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	p.heard(q.Sender)
	return p.next.HandOver(c, q)
}
