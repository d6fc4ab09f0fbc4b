package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A NotifyingPeer calls a function with the sender of each call from another daemon,
// so that any call can show that the sender has a newer version. It adds this
// daemon's accepted versions to the refusals of requests.
type NotifyingPeer struct {
	next   lavenderridge.Peer
	self   func() lavenderridge.Sender
	notify func(lavenderridge.Sender)
}

var _ lavenderridge.Peer = (*NotifyingPeer)(nil)

// NewNotifyingPeer returns a peer that calls f with the sender of each call and then
// passes the call to p. The function s returns the sender of this daemon's
// messages. The function f must not block.
func NewNotifyingPeer(p lavenderridge.Peer, s func() lavenderridge.Sender, f func(lavenderridge.Sender)) *NotifyingPeer {
	return &NotifyingPeer{next: p, self: s, notify: f}
}

// Handle implements lavenderridge.Handler.
func (p *NotifyingPeer) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	p.notify(r.Sender)
	v, e := p.next.Handle(c, r)
	if e == nil {
		return v, nil
	}
	f := *lavenderridge.AsRefusal(e)
	f.Versions = p.self().Stamps.Versions()
	return nil, &f
}

// Exchange implements lavenderridge.Peer.
func (p *NotifyingPeer) Exchange(c context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	p.notify(q.Sender)
	return p.next.Exchange(c, q)
}

// Pull implements lavenderridge.Peer.
func (p *NotifyingPeer) Pull(c context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	p.notify(q.Sender)
	return p.next.Pull(c, q)
}

// Activate implements lavenderridge.Peer.
func (p *NotifyingPeer) Activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	p.notify(q.Sender)
	return p.next.Activate(c, q)
}

// Borrow implements lavenderridge.Peer. Its sender carries no versions.
func (p *NotifyingPeer) Borrow(c context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error) {
	return p.next.Borrow(c, q)
}

// HandOver implements lavenderridge.Peer.
func (p *NotifyingPeer) HandOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	p.notify(q.Sender)
	return p.next.HandOver(c, q)
}
