package backendhttp

import "time"

// An Option changes a Client.
type Option func(*Client)

// WithSilence sets how long a request may go without an answer before the
// client checks, over a new connection, whether its connections are dead.
func WithSilence(d time.Duration) Option {
	return func(l *Client) { l.silence = d }
}
