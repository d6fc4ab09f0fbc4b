package plainhttp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// takenInterval is the time between two checks whether a server has taken a request.
const takenInterval = time.Millisecond

// readEnded is set in the count of running writes when reading has ended.
const readEnded int64 = 1 << 62

// A ResponseConn is a connection to a server. Its reads end with io.EOF only if the
// connection ends in order: the server ends its side, and nothing that was sent to it is
// rejected. A response may have no other end than that of its connection.
//
// The kernel reports the loss of a connection once. If a write gets the error, which is
// likely while a large request is sent, the kernel lets reads end as if in order.
type ResponseConn struct {
	net.Conn
	// request is the latest request with a body.
	request atomic.Pointer[sentRequest]
	// responding is true from the first byte that arrives after request has begun.
	responding atomic.Bool
	// writes is the number of running writes; it has readEnded at the end of reading.
	writes atomic.Int64
	// lost is the first error of a write.
	lost atomic.Pointer[error]
	// lastWrite is closed when no write runs any more after the end of reading.
	lastWrite     chan struct{}
	lastWriteOnce sync.Once
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
}

var _ syscall.Conn = (*ResponseConn)(nil)

func newResponseConn(n net.Conn) *ResponseConn {
	return &ResponseConn{Conn: n, lastWrite: make(chan struct{}), closed: make(chan struct{})}
}

// NetConn returns the connection that was dialled.
func (n *ResponseConn) NetConn() net.Conn {
	return n.Conn
}

// SyscallConn implements syscall.Conn.
func (n *ResponseConn) SyscallConn() (syscall.RawConn, error) {
	return RawConn(n.Conn)
}

// send begins the request r.
func (n *ResponseConn) send(r *sentRequest) {
	n.responding.Store(false)
	n.request.Store(r)
}

// Write implements net.Conn. After the end of reading, it writes nothing.
func (n *ResponseConn) Write(b []byte) (int, error) {
	defer n.endWrite()
	if n.writes.Add(1)&readEnded != 0 {
		return 0, net.ErrClosed
	}
	k, e := n.Conn.Write(b)
	if e != nil && !errors.Is(e, net.ErrClosed) && !errors.Is(e, os.ErrDeadlineExceeded) {
		v := e
		n.lost.CompareAndSwap(nil, &v)
	}
	return k, e
}

func (n *ResponseConn) endWrite() {
	if n.writes.Add(-1) == readEnded {
		n.lastWriteOnce.Do(func() { close(n.lastWrite) })
	}
}

// Read implements net.Conn.
func (n *ResponseConn) Read(b []byte) (int, error) {
	k, e := n.Conn.Read(b)
	if k > 0 {
		n.responding.Store(true)
	}
	if errors.Is(e, io.EOF) {
		e = n.endError()
	}
	return k, e
}

// endError returns io.EOF if the connection has ended in order, and otherwise the error
// that shows that it was lost.
func (n *ResponseConn) endError() error {
	if r := n.request.Load(); r != nil && n.responding.Load() {
		if e := n.awaitSent(r); e != nil {
			return e
		}
	}
	if n.writes.Or(readEnded)&^readEnded > 0 {
		// The write may wait for a server that reads nothing more.
		_ = n.SetWriteDeadline(time.Unix(1, 0))
		<-n.lastWrite
	}
	if e := n.lost.Load(); e != nil {
		return *e
	}
	if e := socketError(n); e != nil {
		return e
	}
	return io.EOF
}

// awaitSent waits until the request r has been written and the server has taken it, or
// returns the error that ended this. The server may read on after it has ended its side.
func (n *ResponseConn) awaitSent(r *sentRequest) error {
	select {
	case <-r.done:
	case <-n.closed:
		return net.ErrClosed
	}
	if r.err != nil {
		return r.err
	}
	if unacknowledged(n) == 0 {
		return nil
	}
	t := time.NewTicker(takenInterval)
	defer t.Stop()
	for unacknowledged(n) > 0 {
		if e := socketError(n); e != nil {
			return e
		}
		select {
		case <-t.C:
		case <-n.closed:
			return net.ErrClosed
		}
	}
	return nil
}

// Close implements net.Conn.
func (n *ResponseConn) Close() error {
	n.closeOnce.Do(func() { close(n.closed) })
	return n.Conn.Close()
}

// socketError returns the error of the socket of n that no read or write has got, or nil.
func socketError(n syscall.Conn) error {
	var v int
	e := control(n, func(d int) (e error) {
		v, e = unix.GetsockoptInt(d, unix.SOL_SOCKET, unix.SO_ERROR)
		return e
	})
	if e != nil || v == 0 {
		return e
	}
	return syscall.Errno(v)
}

// unacknowledged returns how many bytes that were written to n the server's kernel has not
// acknowledged, or 0 if that isn't known.
func unacknowledged(n syscall.Conn) int {
	var v int
	if control(n, func(d int) (e error) {
		v, e = unix.IoctlGetInt(d, unix.SIOCOUTQ)
		return e
	}) != nil {
		return 0
	}
	return v
}

// control calls f with the descriptor of n, if it has one.
func control(n syscall.Conn, f func(d int) error) error {
	r, e := n.SyscallConn()
	if e != nil {
		return nil
	}
	x := r.Control(func(d uintptr) { e = f(int(d)) })
	return errors.Join(x, e)
}
