package peer

import (
	"github.com/lavenderridge/lavenderridge"
)

// A LocalPeer is this daemon as other daemons see it.
type LocalPeer struct {
	lavenderridge.Handler
	Exchanger
	HomeKeeper
}

var _ lavenderridge.Peer = (*LocalPeer)(nil)

// NewLocalPeer returns the peer that runs requests with o, spreads
// configuration with x and moves homes with h.
func NewLocalPeer(o lavenderridge.Handler, x Exchanger, h HomeKeeper) *LocalPeer {
	return &LocalPeer{Handler: o, Exchanger: x, HomeKeeper: h}
}
