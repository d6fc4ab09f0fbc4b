package peerhttp

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
)

// connection is one connection to another daemon.
type connection struct {
	http *http2.ClientConn
	// heard is when the last bytes came, since the transport's start.
	heard atomic.Int64
}

// age returns how long nothing has come, at the time t.
func (n *connection) age(t time.Duration) time.Duration {
	return t - time.Duration(n.heard.Load())
}

// close ends the connection at once; n may be nil.
func (n *connection) close() {
	if n != nil {
		_ = n.http.Close()
	}
}

// heardConn notes when bytes come, so that a long message on a slow link is not
// taken for silence.
type heardConn struct {
	net.Conn
	connection *connection
	now        func() time.Duration
}

// Read implements net.Conn.
func (s *heardConn) Read(b []byte) (int, error) {
	n, e := s.Conn.Read(b)
	if n > 0 {
		s.connection.heard.Store(int64(s.now()))
	}
	return n, e
}
