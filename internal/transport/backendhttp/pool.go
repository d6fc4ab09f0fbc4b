package backendhttp

import (
	"context"
	"fmt"
	"net/http"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

const idleTimeout = time.Minute

// pool holds connections that were opened under the same network state.
type pool struct {
	http      *kratoshttp.Client
	transport *http.Transport
}

// newPool returns a pool of at most n connections. Unless k is set each
// request has a connection of its own.
func newPool(c context.Context, d *dialer, n int, k bool) (*pool, error) {
	t := &http.Transport{
		DialContext: d.dial, MaxConnsPerHost: n, MaxIdleConnsPerHost: n, IdleConnTimeout: idleTimeout,
		DisableCompression: true, DisableKeepAlives: !k,
	}
	h, e := plainhttp.NewClient(c, hideLocation{t}, 0)
	if e != nil {
		return nil, fmt.Errorf("backendhttp: %w", e)
	}
	return &pool{http: h, transport: t}, nil
}

func (p *pool) close() error {
	p.transport.CloseIdleConnections()
	return p.http.Close()
}

// hideLocation keeps the HTTP library from following redirects, which are the
// caller's to follow.
type hideLocation struct{ next http.RoundTripper }

var _ http.RoundTripper = hideLocation{}

// RoundTrip implements http.RoundTripper.
func (h hideLocation) RoundTrip(q *http.Request) (*http.Response, error) {
	p, e := h.next.RoundTrip(q)
	if e == nil {
		rename(p.Header, locationField, hiddenLocationField)
	}
	return p, e
}
