package backendhttp

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

// sealedBit is set in the written count of a connection on which all further
// writes fail.
const sealedBit int64 = 1 << 62

// countedConn counts the bytes written to a connection and calls onClose when
// the connection is closed. Only the request that owns it may write.
type countedConn struct {
	net.Conn
	owner   atomic.Pointer[sendTracker]
	written atomic.Int64 // bytes; has sealedBit after seal
	close   sync.Once
	onClose func()
}

// SyscallConn implements syscall.Conn.
func (n *countedConn) SyscallConn() (syscall.RawConn, error) {
	return plainhttp.RawConn(n.Conn)
}

// Write implements net.Conn.
func (n *countedConn) Write(b []byte) (int, error) {
	if n.owner.Load() == nil {
		return 0, net.ErrClosed
	}
	// Count the bytes before the system call, because a call that fails may
	// still have sent some of them.
	if n.written.Add(int64(len(b)))&sealedBit != 0 {
		return 0, net.ErrClosed
	}
	return n.Conn.Write(b)
}

// seal makes all later writes fail and returns the number of bytes written
// before.
func (n *countedConn) seal() int64 {
	return n.written.Or(sealedBit) &^ sealedBit
}

// Close implements net.Conn.
func (n *countedConn) Close() error {
	n.close.Do(n.onClose)
	return n.Conn.Close()
}
