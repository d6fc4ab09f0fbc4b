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

// connection is one HTTP/2 connection to another daemon.
type connection struct {
	http *http2.ClientConn
	// lastRead is when bytes last arrived, since the transport's start.
	lastRead atomic.Int64
	// readEnded is closed after the first failed read, whose error is readError.
	readEnded   chan struct{}
	readEndOnce sync.Once
	readError   error
}

func newConnection() *connection {
	return &connection{readEnded: make(chan struct{})}
}

// closeReason joins the error e of an operation with the error that ended reading,
// for which it waits until c ends. The latter holds a TLS alert of the peer, which
// may be read only after a write has failed.
func (n *connection) closeReason(c context.Context, e error) error {
	select {
	case <-n.readEnded:
		return errors.Join(n.readError, e)
	case <-c.Done():
		return e
	}
}

// sinceLastRead returns how long, at the time t, no bytes have arrived.
func (n *connection) sinceLastRead(t time.Duration) time.Duration {
	return t - time.Duration(n.lastRead.Load())
}

// close closes the connection without waiting for its calls; n may be nil.
func (n *connection) close() {
	if n != nil {
		_ = n.http.Close()
	}
}

// alertTimeout bounds the wait for a TLS alert after a failed write. It can be
// short, because the peer sent the alert before it closed the connection.
const alertTimeout = 100 * time.Millisecond

// monitoredConn records when bytes arrive and which error ends reading. It records
// bytes and not messages, so that a connection on which a long message arrives
// slowly does not count as half-open.
type monitoredConn struct {
	net.Conn
	connection *connection
	sinceStart func() time.Duration
}

// Read implements net.Conn.
func (s *monitoredConn) Read(b []byte) (int, error) {
	n, e := s.Conn.Read(b)
	if n > 0 {
		s.connection.lastRead.Store(int64(s.sinceStart()))
	}
	if e != nil {
		s.connection.readEndOnce.Do(func() {
			s.connection.readError = e
			close(s.connection.readEnded)
		})
	}
	return n, e
}

// Write implements net.Conn. When it fails, its error includes what a final read
// returns, such as the TLS alert with which the peer refused a certificate.
func (s *monitoredConn) Write(b []byte) (int, error) {
	n, e := s.Conn.Write(b)
	if e == nil {
		return n, nil
	}
	if x := s.SetReadDeadline(time.Now().Add(alertTimeout)); x != nil {
		return n, errors.Join(e, x)
	}
	_, x := s.Read(make([]byte, 1))
	return n, errors.Join(x, e)
}
