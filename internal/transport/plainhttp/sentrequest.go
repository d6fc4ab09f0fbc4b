package plainhttp

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// A sentRequest is a request with a body that the HTTP library writes to a connection.
type sentRequest struct {
	// done is closed when the request has been written or the write has failed.
	done chan struct{}
	once sync.Once
	// err is the error of the write. It is set before done is closed.
	err error
}

func newSentRequest() *sentRequest {
	return &sentRequest{done: make(chan struct{})}
}

func (r *sentRequest) end(e error) {
	r.once.Do(func() {
		r.err = e
		close(r.done)
	})
}

// withSentRequest returns a context with which the connection of a request knows how far
// the request has been written.
func withSentRequest(c context.Context) context.Context {
	// If the HTTP library has written nothing, it may use another connection.
	var a atomic.Pointer[sentRequest]
	return httptrace.WithClientTrace(c, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			r := newSentRequest()
			a.Store(r)
			if n, o := i.Conn.(*ResponseConn); o {
				n.send(r)
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) { a.Load().end(i.Err) },
	})
}
