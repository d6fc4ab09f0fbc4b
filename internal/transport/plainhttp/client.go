// Package plainhttp makes HTTP clients that hand every response to their
// caller, whatever its status, and choose no address by themselves, and stops
// HTTP servers.
package plainhttp

import (
	"context"
	"fmt"
	"net/http"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
)

// NewClient returns a client that sends by t. The time d bounds a request;
// zero leaves that to the request's context.
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
