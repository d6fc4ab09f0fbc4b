package lavenderridge

import "time"

// A BackendProtocol translates the HTTP header fields of backend servers.
type BackendProtocol interface {
	// WriteRequest sets the header fields of h that describe the request r to a
	// backend server. The duration d is the time left until the deadline of r;
	// zero means that r has no deadline.
	WriteRequest(h Header, r *Request, d time.Duration)
	// Matches reports whether a response with the header h belongs to r.
	Matches(r *Request, h Header) bool
	// NotRun returns the reason why a backend server did not run a request,
	// given the status s and the header h of its response. It reports false if
	// the request may have run.
	NotRun(s int, h Header) (Reason, bool)
	// ImpliesNotRun reports whether callers understand the status s as a guarantee
	// that the request has not run.
	ImpliesNotRun(s int) bool
	// Notice returns what the header h of a response says about the backend server.
	Notice(h Header) Notice
	// Health returns the health in the status s and the header h of the response
	// to a health check. It reports false if the health is in the body instead.
	Health(s int, h Header) (Health, bool)
	// AllowsUnframed reports whether the end of the connection may mark the end
	// of a response, as for one with neither a length nor chunks.
	AllowsUnframed() bool
}
