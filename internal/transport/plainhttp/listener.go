package plainhttp

import (
	"net"
	"time"

	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// A Listener accepts connections as far as the table of its clients allows. A connection
// that isn't allowed is closed before a byte of it is read.
type Listener struct {
	net.Listener
	clients *operator.ClientTable
	heads   func() operator.HeadLimits
	pause   time.Duration
}

// NewListener returns a listener on l with the table t. The function f returns the limits
// of heads; without it, connections are not looked into. A client must take a piece of a
// response within the time d, unless that is zero.
func NewListener(l net.Listener, t *operator.ClientTable, f func() operator.HeadLimits, d time.Duration) *Listener {
	return &Listener{Listener: l, clients: t, heads: f, pause: d}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		n, e := l.Listener.Accept()
		if e != nil {
			return nil, e
		}
		h, _, e := net.SplitHostPort(n.RemoteAddr().String())
		if e != nil {
			h = n.RemoteAddr().String()
		}
		c := l.clients.Enter(h, time.Now(), func() { _ = n.Close() })
		if c == nil {
			_ = n.Close()
			continue
		}
		return newConn(n, l, c), nil
	}
}
