package plainhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
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
	// refusalTimeout bounds how long the refusal of a head may take to be written.
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

	opened time.Time
	// written is the time of the latest write, in nanoseconds since opened, or zero.
	written atomic.Int64
	// ended is true if nothing more can arrive, idle between two requests, and closing after
	// Close.
	ended, idle, closing atomic.Bool
}

var _ syscall.Conn = (*Conn)(nil)

func newConn(n net.Conn, l *Listener, c *operator.Client) *Conn {
	v := &Conn{Conn: n, client: c, listener: l, opened: time.Now()}
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
	if e != nil && !os.IsTimeout(e) {
		n.ended.Store(true)
	}
	if n.closing.Load() {
		// What arrives after Close must not be taken for a request.
		return 0, net.ErrClosed
	}
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

// refuse writes the answer s, behind which the HTTP library must not write its own.
func (n *Conn) refuse(s string) {
	if e := n.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)); e != nil {
		return
	}
	if _, e := io.WriteString(n.Conn, s); e == nil && n.CloseWrite() == nil {
		n.written.Store(int64(time.Since(n.opened)))
	}
}

// Write implements net.Conn.
func (n *Conn) Write(b []byte) (int, error) {
	k, e := n.write(b)
	if k > 0 {
		n.written.Store(int64(time.Since(n.opened)))
	}
	return k, e
}

func (n *Conn) write(b []byte) (int, error) {
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

// SetReadDeadline implements net.Conn. After Close, the deadline stays as it is.
func (n *Conn) SetReadDeadline(t time.Time) error {
	if n.closing.Load() {
		return net.ErrClosed
	}
	return n.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. The HTTP library clears the deadline after each
// answer; while clients must take theirs in time, Write sets it instead.
func (n *Conn) SetWriteDeadline(t time.Time) error {
	if n.listener.pause > 0 {
		return nil
	}
	return n.Conn.SetWriteDeadline(t)
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
	return RawConn(n.Conn)
}

// RawConn returns the descriptor of the connection n.
func RawConn(n net.Conn) (syscall.RawConn, error) {
	if c, o := n.(syscall.Conn); o {
		return c.SyscallConn()
	}
	return nil, errors.New("plainhttp: the connection has no descriptor")
}

// HasLeft reports whether the client has closed the connection. The HTTP library finds out
// as well, but only while a request is already being handled.
func (n *Conn) HasLeft() bool {
	r, e := n.SyscallConn()
	if e != nil {
		return false
	}
	o := false
	// Unlike Read, Control does not wait until the library's read ends.
	e = r.Control(func(d uintptr) {
		var b [1]byte
		k, _, x := syscall.Recvfrom(int(d), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		o = x == nil && k == 0 || errors.Is(x, syscall.ECONNRESET)
	})
	return e == nil && o
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
	switch c := n.(type) {
	case *Conn:
		c.idle.Store(t == http.StateIdle)
		if t == http.StateIdle {
			c.nextHead()
		}
	case *tls.Conn:
		if v, o := c.NetConn().(*Conn); o && t == http.StateIdle {
			v.client.Taken(time.Now())
		}
	}
}
