package peer

import (
	"github.com/lavenderridge/lavenderridge"
)

// A NotifyingDialer creates clients that call a function with the sender of each
// reply, so that any reply can show that another daemon has a newer version. The
// sender of a refusal contains only the refusing instance and its versions.
type NotifyingDialer struct {
	next   lavenderridge.PeerDialer
	notify func(lavenderridge.Sender)
}

var _ lavenderridge.PeerDialer = (*NotifyingDialer)(nil)

// NewNotifyingDialer returns a dialer that creates its clients with n. The function
// f is called with the sender of each reply and must not block.
func NewNotifyingDialer(n lavenderridge.PeerDialer, f func(lavenderridge.Sender)) *NotifyingDialer {
	return &NotifyingDialer{next: n, notify: f}
}

// Dial implements lavenderridge.PeerDialer.
func (d *NotifyingDialer) Dial(n *lavenderridge.Instance) lavenderridge.Peer {
	return &notifyingClient{next: d.next.Dial(n), notify: d.notify}
}
