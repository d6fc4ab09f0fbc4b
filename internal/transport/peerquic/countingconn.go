package peerquic

import (
	"net"
)

// countingConn is a UDP socket that counts the bytes sent. What a daemon
// receives is what others send.
type countingConn struct {
	*net.UDPConn
	traffic *Traffic
}

func newCountingConn(s *net.UDPConn, c *Traffic) *countingConn {
	return &countingConn{UDPConn: s, traffic: c}
}

// WriteMsgUDP implements quic.OOBCapablePacketConn.
func (s *countingConn) WriteMsgUDP(b, o []byte, a *net.UDPAddr) (int, int, error) {
	n, m, e := s.UDPConn.WriteMsgUDP(b, o, a)
	s.count(n)
	return n, m, e
}

// WriteTo implements net.PacketConn.
func (s *countingConn) WriteTo(b []byte, a net.Addr) (int, error) {
	n, e := s.UDPConn.WriteTo(b, a)
	s.count(n)
	return n, e
}

func (s *countingConn) count(n int) {
	s.traffic.sent.Add(int64(n))
	s.traffic.packets.Add(1)
}
