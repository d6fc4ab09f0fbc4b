package backendhttp

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

// errSentBefore is the cause with which the HTTP library's attempt to send a request once
// more is cancelled.
var errSentBefore = errors.New("backendhttp: the request was sent before")

// sendTracker lets one request be sent once. The HTTP library repeats some requests by
// itself when a connection breaks, depending on their method, header and body. It can't
// do so here, because a connection writes nothing unless a request owns it, and a request
// that may have been sent gets no other connection.
type sendTracker struct {
	connection    atomic.Pointer[countedConn]
	writtenBefore atomic.Int64
}

// begin returns the context with which the request is sent. The function that it returns
// must be called when the response has been read or has failed.
func (s *sendTracker) begin(c context.Context) (context.Context, context.CancelFunc) {
	c, f := context.WithCancelCause(c)
	t := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if !s.own(i.Conn) {
			f(errSentBefore)
		}
	}}
	return httptrace.WithClientTrace(c, t), func() {
		s.release()
		f(nil)
	}
}

// own makes the request the owner of the connection n. If it may have been sent over
// another one, own closes n to writes and returns false.
func (s *sendTracker) own(n net.Conn) bool {
	w, o := n.(*plainhttp.ResponseConn)
	if !o {
		return false
	}
	v, o := w.NetConn().(*countedConn)
	if !o {
		return false
	}
	if s.mayHaveSent() {
		v.seal()
		return false
	}
	s.writtenBefore.Store(v.written.Load())
	s.connection.Store(v)
	v.owner.Store(s)
	return true
}

// release gives the connection up, so that another request may own it.
func (s *sendTracker) release() {
	if v := s.connection.Load(); v != nil {
		v.owner.CompareAndSwap(s, nil)
	}
}

// mayHaveSent reports whether any byte of the request may have been sent. It
// seals the connection first, so that no byte is sent after it has reported
// false.
func (s *sendTracker) mayHaveSent() bool {
	n := s.connection.Load()
	return n != nil && n.seal() > s.writtenBefore.Load()
}
