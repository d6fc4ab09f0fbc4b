package plainhttp

import (
	"fmt"
	"net"
	"net/http"
	"strings"
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
	// tooLarge and noMemory are the whole answers to heads that are refused.
	tooLarge, noMemory string
	lingering          *lingering
}

// NewListener returns a listener on l with the table t. The function f returns the limits
// of heads; without it, connections are not looked into. A client must take a piece of a
// response within the time d, unless that is zero.
func NewListener(l net.Listener, t *operator.ClientTable, f func() operator.HeadLimits, d time.Duration) *Listener {
	return &Listener{
		Listener: l, clients: t, heads: f, pause: d,
		tooLarge: headRefusal(http.StatusRequestHeaderFieldsTooLarge, nil),
		noMemory: headRefusal(http.StatusServiceUnavailable, http.Header{"Retry-After": {"1"}}),

		lingering: newLingering(),
	}
}

// SetRefusals sets the headers of the answers to heads that are above their limits, and
// to those for which there is no memory. It must be called before Accept.
func (l *Listener) SetRefusals(a, b http.Header) {
	l.tooLarge = headRefusal(http.StatusRequestHeaderFieldsTooLarge, a)
	l.noMemory = headRefusal(http.StatusServiceUnavailable, b)
}

// headRefusal returns an answer with the status n and the header h that closes the
// connection.
func headRefusal(n int, h http.Header) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", n, http.StatusText(n))
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.String()
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
