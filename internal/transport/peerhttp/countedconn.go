package peerhttp

import "net"

// countedConn is a connection that counts the bytes sent. What a daemon
// receives is what others send.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Write implements net.Conn.
func (s *countedConn) Write(b []byte) (int, error) {
	n, e := s.Conn.Write(b)
	s.traffic.sent.Add(int64(n))
	s.traffic.writes.Add(1)
	return n, e
}
