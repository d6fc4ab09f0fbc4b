package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A HearingPeer passes on the sender of every call that other daemons make, so
// that a newer version is noticed on any message.
type HearingPeer struct {
	next  lavenderridge.Peer
	heard func(lavenderridge.Sender)
}

var _ lavenderridge.Peer = (*HearingPeer)(nil)

// NewHearingPeer returns a peer that answers as p does and calls f with the
// sender of each call first. The function f must not block.
func NewHearingPeer(p lavenderridge.Peer, f func(lavenderridge.Sender)) *HearingPeer {
	return &HearingPeer{next: p, heard: f}
}

// Handle implements lavenderridge.Handler.
func (p *HearingPeer) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	p.heard(r.Sender)
	return p.next.Handle(c, r)
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
