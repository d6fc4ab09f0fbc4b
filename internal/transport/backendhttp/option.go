package backendhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// An Option configures a Client.
type Option func(*Client)

// WithUnresponsiveTimeout sets how long a request may wait for its response
// before the client checks, over a new connection, whether its pooled
// connections are half-open. The default is one second.
func WithUnresponsiveTimeout(d time.Duration) Option {
	return func(l *Client) { l.unresponsiveTimeout = d }
}

// WithProtocol makes the client use p in place of the system's own protocol.
func WithProtocol(p lavenderridge.BackendProtocol) Option {
	return func(l *Client) { l.protocol = p }
}

// WithNotices makes the client call f with each request that the backend server
// responds to, and the notice in the response, before the body is read. Responses of
// another backend server than the expected one are left out.
func WithNotices(f func(*lavenderridge.Request, lavenderridge.Notice)) Option {
	return func(l *Client) { l.onNotice = f }
}

// WithHealthPath makes the client send health checks to the path that f
// returns. If f returns an empty path, the default path is used.
func WithHealthPath(f func() string) Option {
	return func(l *Client) { l.healthPath = f }
}
