package backendhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// An Option changes a Client.
type Option func(*Client)

// WithSilence sets how long a request may go without an answer before the
// client checks, over a new connection, whether its connections are dead.
func WithSilence(d time.Duration) Option {
	return func(l *Client) { l.silence = d }
}

// WithProtocol makes the client speak p in place of the system's own protocol.
func WithProtocol(p lavenderridge.BackendProtocol) Option {
	return func(l *Client) { l.protocol = p }
}

// WithHealthPath makes the client check the health at the path that f returns.
func WithHealthPath(f func() string) Option {
	return func(l *Client) { l.healthPath = f }
}
