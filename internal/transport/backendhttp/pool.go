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

// pool is an HTTP client with connections of its own. The Client replaces the
// whole pool when its connections may be half-open.
type pool struct {
	http      *kratoshttp.Client
	transport *plainhttp.Transport
}

// newPool returns a pool of at most n connections. If k is false, each request
// uses a new connection, which is closed after the response.
func newPool(c context.Context, d *dialer, n int, k bool) (*pool, error) {
	t := plainhttp.NewTransport(&http.Transport{
		DialContext: d.dial, MaxConnsPerHost: n, MaxIdleConnsPerHost: n, IdleConnTimeout: idleTimeout,
		DisableKeepAlives: !k,
	})
	h, e := plainhttp.NewClient(c, locationHider{t}, 0)
	if e != nil {
		return nil, fmt.Errorf("backendhttp: %w", e)
	}
	return &pool{http: h, transport: t}, nil
}

func (p *pool) close() error {
	p.transport.CloseIdleConnections()
	return p.http.Close()
}

// locationHider renames the Location field of responses, so that the HTTP
// library does not follow redirects. They are returned to the caller.
type locationHider struct{ next http.RoundTripper }

var _ http.RoundTripper = locationHider{}

// RoundTrip implements http.RoundTripper.
func (h locationHider) RoundTrip(q *http.Request) (*http.Response, error) {
	p, e := h.next.RoundTrip(q)
	if e == nil {
		renameField(p.Header, locationField, hiddenLocationField)
	}
	return p, e
}
