package lavenderridge

import "time"

// A BackendProtocol translates the HTTP header fields of backend servers.
type BackendProtocol interface {
	// WriteRequest sets in h what a backend server is told of the request r, of
	// whose time d is left. Zero stands for no deadline.
	WriteRequest(h Header, r *Request, d time.Duration)
	// Matches reports whether a response with the header h belongs to r.
	Matches(r *Request, h Header) bool
	// NotRun returns why a backend server did not run a request that it
	// answered with the status s and the header h. It reports false when the
	// request may have run.
	NotRun(s int, h Header) (Reason, bool)
	// Promises reports whether callers take the status s as a promise that the
	// request has not run.
	Promises(s int) bool
	// Health returns what the header of the answer to a health check says. It
	// reports false when the body tells it.
	Health(s int, h Header) (Health, bool)
	// AllowsUnframed reports whether a response may end with its connection.
	AllowsUnframed() bool
}
