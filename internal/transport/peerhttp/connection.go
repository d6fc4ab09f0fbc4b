package peerhttp

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
)

// connection is one connection to another daemon.
type connection struct {
	http *http2.ClientConn
	// heard is when the last bytes came, since the transport's start.
	heard atomic.Int64
	// ended is closed when nothing more can be read, for the reason in failure.
	ended   chan struct{}
	end     sync.Once
	failure error
}

func newConnection() *connection {
	return &connection{ended: make(chan struct{})}
}

// reason returns why the connection ended, with the error e of a use of it. The
// peer's word, as an alert, comes by reading, and a failed write may precede it.
func (n *connection) reason(c context.Context, e error) error {
	select {
	case <-n.ended:
		return errors.Join(n.failure, e)
	case <-c.Done():
		return e
	}
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

// alertPatience bounds the wait for an alert that the peer sent before it closed
// the connection: it is on its way already.
const alertPatience = 100 * time.Millisecond

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
	if e != nil {
		s.connection.end.Do(func() {
			s.connection.failure = e
			close(s.connection.ended)
		})
	}
	return n, e
}

// Write implements net.Conn. When it fails it also tells what the peer has said
// last: the alert by which it refused a certificate, for one.
func (s *heardConn) Write(b []byte) (int, error) {
	n, e := s.Conn.Write(b)
	if e == nil {
		return n, nil
	}
	if x := s.SetReadDeadline(time.Now().Add(alertPatience)); x != nil {
		return n, errors.Join(e, x)
	}
	_, x := s.Read(make([]byte, 1))
	return n, errors.Join(x, e)
}
