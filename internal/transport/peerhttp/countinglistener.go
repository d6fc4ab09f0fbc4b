package peerhttp

import "net"

// countingListener is a listener that wraps accepted connections in a countedConn.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	n, e := l.Listener.Accept()
	if e != nil {
		return nil, e
	}
	return &countedConn{Conn: n, traffic: l.traffic}, nil
}
