package peerhttp

import (
	"bytes"
	"io"
	"sync/atomic"
)

// requestBody is the body of a call. It records whether the HTTP library has read
// all of it; until then, the peer can't have received the whole call.
type requestBody struct {
	reader    *bytes.Reader
	fullyRead atomic.Bool
}

var _ io.ReadCloser = (*requestBody)(nil)

func newRequestBody(b []byte) *requestBody {
	return &requestBody{reader: bytes.NewReader(b)}
}

// Read implements io.Reader.
func (o *requestBody) Read(b []byte) (int, error) {
	n, e := o.reader.Read(b)
	if o.reader.Len() == 0 {
		o.fullyRead.Store(true)
	}
	return n, e
}

// Close implements io.Closer.
func (o *requestBody) Close() error {
	return nil
}
