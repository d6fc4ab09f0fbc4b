package peerhttp

import (
	"bytes"
	"io"
	"sync/atomic"
)

// outgoing is the body of a call. It tells whether the HTTP library has taken
// all of it: before that, the peer can't have read the call to its end.
type outgoing struct {
	next  *bytes.Reader
	taken atomic.Bool
}

var _ io.ReadCloser = (*outgoing)(nil)

func newOutgoing(b []byte) *outgoing {
	return &outgoing{next: bytes.NewReader(b)}
}

// Read implements io.Reader.
func (o *outgoing) Read(b []byte) (int, error) {
	n, e := o.next.Read(b)
	if o.next.Len() == 0 {
		o.taken.Store(true)
	}
	return n, e
}

// Close implements io.Closer.
func (o *outgoing) Close() error {
	return nil
}
