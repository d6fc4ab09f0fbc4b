package peerhttp

import "net"

// countedConn is a connection that counts the bytes and write calls sent. Received
// bytes are not counted, because the daemon that sends them does so.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Write implements net.Conn.
func (s *countedConn) Write(b []byte) (int, error) {
	n, e := s.Conn.Write(b)
	s.traffic.bytesSent.Add(int64(n))
	s.traffic.writes.Add(1)
	return n, e
}
