package plainhttp

import (
	"context"
	"net"
	"net/http"

	"github.com/lavenderridge/lavenderridge"
)

// A Transport is the HTTP library's transport for servers that may be faulty. A response
// with a malformed head, or one whose connection is lost, ends with an error.
type Transport struct {
	*http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport with the settings of t, which it takes over. It bounds
// the heads of responses, asks for no encoding of bodies, and opens each connection as a
// ResponseConn.
func NewTransport(t *http.Transport) *Transport {
	d := t.DialContext
	if d == nil {
		d = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(c context.Context, n, a string) (net.Conn, error) {
		v, e := d(c, n, a)
		if e != nil {
			return nil, e
		}
		return newResponseConn(v), nil
	}
	t.DisableCompression, t.MaxResponseHeaderBytes = true, MaxResponseHead
	return &Transport{Transport: t}
}

// RoundTrip implements http.RoundTripper. The error is a lavenderridge.ErrMalformedHead if
// the response has a malformed head.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	if q.ContentLength != 0 {
		q = q.WithContext(withSentRequest(q.Context()))
	}
	p, e := t.Transport.RoundTrip(q)
	if e != nil {
		return nil, e
	}
	if e := lavenderridge.CheckResponseHead(p.StatusCode, lavenderridge.Header(p.Header)); e != nil {
		_ = p.Body.Close()
		return nil, e
	}
	return p, nil
}
