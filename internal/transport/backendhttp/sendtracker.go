package backendhttp

import (
	"net/http/httptrace"
	"sync/atomic"
)

// sendTracker determines whether any byte of one request was sent: whether
// its connection has written more bytes than when the request obtained it.
type sendTracker struct {
	connection    atomic.Pointer[countedConn]
	writtenBefore atomic.Int64
}

func (s *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		n, o := i.Conn.(*countedConn)
		if !o {
			return
		}
		s.writtenBefore.Store(n.written.Load())
		s.connection.Store(n)
	}}
}

// mayHaveSent reports whether any byte of the request may have been sent. It
// seals the connection first, so that no byte is sent after it has reported
// false.
func (s *sendTracker) mayHaveSent() bool {
	n := s.connection.Load()
	return n != nil && n.seal() > s.writtenBefore.Load()
}
