package plainhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

const (
	// minProgress is the size in bytes of a part of a body that counts as progress.
	minProgress = 256
	// writePiece is the size in bytes of a part of a response that a client must take in
	// time.
	writePiece = 64 << 10
	// refusalDiscard bounds, in bytes, what is read after a refused head, so that the
	// client sees the refusal, and refusalTimeout for how long.
	refusalDiscard = 64 << 10
	refusalTimeout = 500 * time.Millisecond
)

// A Conn is a connection that counts what its client makes the daemon hold. It weighs the
// head of a request before the HTTP library sees it, since that keeps an entry for each
// line.
type Conn struct {
	net.Conn
	client   *operator.Client
	listener *Listener
	// inHead is true while a head arrives.
	inHead  atomic.Bool
	refused bool
	meter   operator.HeadMeter
	held    lavenderridge.ByteCount // by the head
	// writeUntil is the deadline of writes.
	writeUntil time.Time
}

var _ syscall.Conn = (*Conn)(nil)

func newConn(n net.Conn, l *Listener, c *operator.Client) *Conn {
	v := &Conn{Conn: n, client: c, listener: l}
	v.inHead.Store(l.heads != nil)
	return v
}

// Client returns the client of the connection, or nil for a nil connection.
func (n *Conn) Client() *operator.Client {
	if n == nil {
		return nil
	}
	return n.client
}

// HeadRead ends the head that arrives. What follows is not looked into before NextHead.
func (n *Conn) HeadRead() {
	if n != nil {
		n.inHead.Store(false)
	}
}

// nextHead begins the next head after the end of a request.
func (n *Conn) nextHead() {
	n.client.Release(n.held)
	n.client.Served(time.Now())
	n.held = 0
	n.meter.Reset()
	n.inHead.Store(n.listener.heads != nil)
}

// Read implements net.Conn.
func (n *Conn) Read(b []byte) (int, error) {
	if n.refused {
		return 0, io.EOF
	}
	k, e := n.Conn.Read(b)
	if k == 0 {
		return k, e
	}
	if n.listener.heads == nil {
		// Here, taking answers counts, and what is sent only if it is a body.
		if k >= minProgress && n.client.ReceivesBody() {
			n.client.Progress(time.Now())
		}
		return k, e
	}
	t, h := time.Now(), n.inHead.Load()
	if h || k >= minProgress {
		n.client.Progress(t)
	}
	if h && !n.admit(b[:k], t) {
		n.refused = true
		return 0, io.EOF
	}
	return k, e
}

// admit counts the bytes b of a head and reports whether the client may go on.
func (n *Conn) admit(b []byte, t time.Time) bool {
	o := n.meter.Add(b)
	if n.meter.Exceeds(n.listener.heads()) {
		n.listener.clients.CountRefusal()
		n.refuse(n.listener.tooLarge)
		return false
	}
	if v := n.meter.Memory() - n.held; v > 0 {
		if !n.client.Hold(v, t) {
			n.refuse(n.listener.noMemory)
			return false
		}
		n.held += v
	}
	if o {
		n.inHead.Store(false)
	}
	return true
}

// refuse writes the answer s and discards some of what still arrives, because the client
// might not see the answer if the connection were closed with unread bytes.
func (n *Conn) refuse(s string) {
	d := time.Now().Add(refusalTimeout)
	if e := n.SetDeadline(d); e != nil {
		return
	}
	if _, e := io.WriteString(n.Conn, s); e != nil || n.CloseWrite() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(n.Conn, refusalDiscard))
}

// Write implements net.Conn.
func (n *Conn) Write(b []byte) (int, error) {
	if n.listener.pause == 0 {
		return n.Conn.Write(b)
	}
	s := 0
	for {
		t := time.Now()
		if n.writeUntil.Sub(t) < n.listener.pause/2 {
			n.writeUntil = t.Add(n.listener.pause)
			if e := n.Conn.SetWriteDeadline(n.writeUntil); e != nil {
				return s, e
			}
		}
		k, e := n.Conn.Write(b[:min(len(b), writePiece)])
		if s, b = s+k, b[k:]; e != nil || len(b) == 0 {
			return s, e
		}
		n.client.Progress(t)
	}
}

// SetWriteDeadline implements net.Conn. The HTTP library clears the deadline after each
// answer; while clients must take theirs in time, Write sets it instead.
func (n *Conn) SetWriteDeadline(t time.Time) error {
	if n.listener.pause > 0 {
		return nil
	}
	return n.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (n *Conn) Close() error {
	n.client.Leave()
	return n.Conn.Close()
}

// CloseWrite closes the side of the connection that sends.
func (n *Conn) CloseWrite() error {
	if c, o := n.Conn.(interface{ CloseWrite() error }); o {
		return c.CloseWrite()
	}
	return errors.New("plainhttp: the connection has no sides")
}

// SyscallConn implements syscall.Conn.
func (n *Conn) SyscallConn() (syscall.RawConn, error) {
	if c, o := n.Conn.(syscall.Conn); o {
		return c.SyscallConn()
	}
	return nil, errors.New("plainhttp: the connection has no descriptor")
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// WithConn adds the connection n of requests to their context c; it is an
// http.Server.ConnContext.
func WithConn(c context.Context, n net.Conn) context.Context {
	return context.WithValue(c, connKey{}, n)
}

// ConnOf returns the connection in the context c, or nil.
func ConnOf(c context.Context) *Conn {
	n, _ := c.Value(connKey{}).(*Conn)
	return n
}

// ConnState follows the requests of the connection n; it is an http.Server.ConnState.
func ConnState(n net.Conn, t http.ConnState) {
	if t != http.StateIdle {
		return
	}
	switch c := n.(type) {
	case *Conn:
		c.nextHead()
	case *tls.Conn:
		if v, o := c.NetConn().(*Conn); o {
			v.client.Taken(time.Now())
		}
	}
}
