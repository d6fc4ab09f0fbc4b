package peerquic

import (
	"net"
)

// countingConn is a UDP socket that counts the bytes sent. What a daemon
// receives is what others send.
type countingConn struct {
	*net.UDPConn
	counters *Counters
}

func newCountingConn(s *net.UDPConn, c *Counters) *countingConn {
	return &countingConn{UDPConn: s, counters: c}
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
	s.counters.sent.Add(int64(n))
	s.counters.packets.Add(1)
}
