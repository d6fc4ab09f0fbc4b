package lavenderridge

import "context"

// A Handler handles requests. It is the central interface of the request path:
// small handlers wrap each other, from the handler that receives the caller's
// request to the handler that calls the backend server.
type Handler interface {
	// Handle returns the whole response, or an error that AsRefusal converts to
	// a Refusal. It returns soon after c is done.
	Handle(c context.Context, r *Request) (*Response, error)
}
