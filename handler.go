package lavenderridge

import "context"

// A Handler answers requests. It is the central interface of the request path:
// small handlers wrap each other, from the one that meets the caller down to
// the one that meets the backend server.
type Handler interface {
	// Handle returns the whole response, or an error that AsRefusal
	// understands. It returns soon after c ends.
	Handle(c context.Context, r *Request) (*Response, error)
}
