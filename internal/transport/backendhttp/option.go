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

// WithBodyMemory bounds the memory of the response bodies that are being read at the
// same time to n bytes. A response that would need more is refused as TooLarge. By
// default, only the size of each body is bounded.
func WithBodyMemory(n lavenderridge.ByteCount) Option {
	return func(l *Client) { l.bodies.limit = n }
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
