package peer

import (
	"github.com/lavenderridge/lavenderridge"
)

// A LocalPeer handles the calls of other daemons to this one.
type LocalPeer struct {
	lavenderridge.Handler
	Exchanger
	HomeServer
	LoanServer
}

var _ lavenderridge.Peer = (*LocalPeer)(nil)

// NewLocalPeer returns a peer that runs requests with o, disseminates
// configuration with x, moves homes with h and lends out of quotas with n.
func NewLocalPeer(o lavenderridge.Handler, x Exchanger, h HomeServer, n LoanServer) *LocalPeer {
	return &LocalPeer{Handler: o, Exchanger: x, HomeServer: h, LoanServer: n}
}
