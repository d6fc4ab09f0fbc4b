package peer

import (
	"github.com/lavenderridge/lavenderridge"
)

// A HearingDialer passes on the sender of every reply that other daemons give,
// so that a newer version is noticed on any message.
type HearingDialer struct {
	next  lavenderridge.PeerDialer
	heard func(lavenderridge.Sender)
}

var _ lavenderridge.PeerDialer = (*HearingDialer)(nil)

// NewHearingDialer returns a dialer that reaches peers through n and calls f
// with the sender of each of their replies. The function f must not block.
func NewHearingDialer(n lavenderridge.PeerDialer, f func(lavenderridge.Sender)) *HearingDialer {
	return &HearingDialer{next: n, heard: f}
}

// Dial implements lavenderridge.PeerDialer.
func (d *HearingDialer) Dial(n *lavenderridge.Instance) lavenderridge.Peer {
	return &hearingClient{next: d.next.Dial(n), heard: d.heard}
}
