package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// An IdlePeer answers other daemons without giving or taking anything.
type IdlePeer struct {
	self func() lavenderridge.Sender
}

var (
	_ Exchanger  = (*IdlePeer)(nil)
	_ HomeKeeper = (*IdlePeer)(nil)
)

// NewIdlePeer returns an idle peer whose replies carry the sender of f.
func NewIdlePeer(f func() lavenderridge.Sender) *IdlePeer {
	return &IdlePeer{self: f}
}

// Exchange implements Exchanger.
func (p *IdlePeer) Exchange(context.Context, *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	return &lavenderridge.Exchange{Sender: p.self()}, nil
}

// Pull implements Exchanger.
func (p *IdlePeer) Pull(context.Context, *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	return &lavenderridge.PullReply{Sender: p.self()}, nil
}

// Activate implements HomeKeeper.
func (p *IdlePeer) Activate(context.Context, *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	return &lavenderridge.ActivationReply{Sender: p.self()}, nil
}

// HandOver implements HomeKeeper.
func (p *IdlePeer) HandOver(context.Context, *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return &lavenderridge.HandOverReply{Sender: p.self()}, nil
}
