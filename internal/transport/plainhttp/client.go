// Package plainhttp creates HTTP clients that return no broken response, without the
// error decoding and service discovery of the kratos library, and shuts down HTTP servers
// gracefully.
package plainhttp

import (
	"context"
	"fmt"
	"net/http"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
)

// MaxResponseHead bounds, in bytes, the status line and the header fields of a
// response, together with those of the interim responses before it.
const MaxResponseHead = 64 << 10

// NewClient returns a client that sends requests over t and returns responses
// of any status without an error. The timeout d applies to each request; zero
// means that only the request's context limits it.
func NewClient(c context.Context, t http.RoundTripper, d time.Duration) (*kratoshttp.Client, error) {
	h, e := kratoshttp.NewClient(c,
		kratoshttp.WithTransport(t),
		kratoshttp.WithTimeout(d),
		kratoshttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	if e != nil {
		return nil, fmt.Errorf("plainhttp: %w", e)
	}
	return h, nil
}
