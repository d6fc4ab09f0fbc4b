package backendhttp

import (
	"net"
	"sync"
	"sync/atomic"
)

// sealedBit is set in the count of a connection that may write no more.
const sealedBit int64 = 1 << 62

// countedConn counts the bytes written to a connection, and gives its place
// among the open connections back when it is closed.
type countedConn struct {
	net.Conn
	written atomic.Int64 // bytes, and sealedBit
	close   sync.Once
	closed  func()
}

// Write implements net.Conn.
func (n *countedConn) Write(b []byte) (int, error) {
	// The bytes count as written before the system call, for a failed call may
	// have sent some of them.
	if n.written.Add(int64(len(b)))&sealedBit != 0 {
		return 0, net.ErrClosed
	}
	return n.Conn.Write(b)
}

// seal makes all later writes fail, and returns the bytes written before.
func (n *countedConn) seal() int64 {
	return n.written.Or(sealedBit) &^ sealedBit
}

// Close implements net.Conn.
func (n *countedConn) Close() error {
	n.close.Do(n.closed)
	return n.Conn.Close()
}
