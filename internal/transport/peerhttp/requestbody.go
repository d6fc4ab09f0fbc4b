package peerhttp

import (
	"bytes"
	"io"
	"sync/atomic"
)

// requestBody is the body of a call. It records whether the HTTP library has read
// all of it; until then, the peer can't have received the whole call.
type requestBody struct {
	message, body bytes.Reader
	fullyRead     atomic.Bool
}

var _ io.ReadCloser = (*requestBody)(nil)

func newRequestBody(f *frame) *requestBody {
	o := &requestBody{}
	o.message.Reset(f.message)
	o.body.Reset(f.body)
	return o
}

// Read implements io.Reader.
func (o *requestBody) Read(b []byte) (int, error) {
	r := &o.message
	if r.Len() == 0 {
		r = &o.body
	}
	n, e := r.Read(b)
	if o.message.Len()+o.body.Len() == 0 {
		o.fullyRead.Store(true)
	}
	return n, e
}

// Close implements io.Closer.
func (o *requestBody) Close() error {
	return nil
}
