package peer

import (
	"github.com/lavenderridge/lavenderridge"
)

// A LocalPeer handles the calls of other daemons to this one.
type LocalPeer struct {
	lavenderridge.Handler
	Exchanger
	HomeServer
}

var _ lavenderridge.Peer = (*LocalPeer)(nil)

// NewLocalPeer returns a peer that runs requests with o, disseminates
// configuration with x and moves homes with h.
func NewLocalPeer(o lavenderridge.Handler, x Exchanger, h HomeServer) *LocalPeer {
	return &LocalPeer{Handler: o, Exchanger: x, HomeServer: h}
}
