package backendhttp

import (
	"net"
	"sync"
	"sync/atomic"
)

// countedConn counts the bytes written to a connection, and gives its place
// among the open connections back when it is closed.
type countedConn struct {
	net.Conn
	written atomic.Int64
	close   sync.Once
	closed  func()
}

// Write implements net.Conn.
func (n *countedConn) Write(b []byte) (int, error) {
	// The bytes count as written before the system call, for a failed call may
	// have sent some of them.
	n.written.Add(int64(len(b)))
	return n.Conn.Write(b)
}

// Close implements net.Conn.
func (n *countedConn) Close() error {
	n.close.Do(n.closed)
	return n.Conn.Close()
}
