package backendhttp

import (
	"net/http/httptrace"
	"sync/atomic"
)

// sending follows one request, to tell whether any byte of it was sent.
type sending struct {
	connection atomic.Pointer[countedConn]
	before     atomic.Int64
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		n, o := i.Conn.(*countedConn)
		if !o {
			return
		}
		s.before.Store(n.written.Load())
		s.connection.Store(n)
	}}
}

// began reports whether any byte may have been sent. No byte is sent after it
// has reported false.
func (s *sending) began() bool {
	n := s.connection.Load()
	return n != nil && n.seal() > s.before.Load()
}
