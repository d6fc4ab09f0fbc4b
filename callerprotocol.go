package lavenderridge

import "time"

// A CallerProtocol translates the HTTP header fields of callers.
type CallerProtocol interface {
	// ReadRequest sets the fields of r that its header fields determine. The
	// request arrived at t. The error is a Refusal.
	ReadRequest(r *Request, t time.Time) error
	// CustomerFields returns the names of the request header fields with the key and the
	// name of a customer, in canonical form. If the catalogue has customers, a backend
	// server receives no caller's value of them.
	CustomerFields() []string
	// WriteResponse adds to h the protocol's own header fields for the response p.
	WriteResponse(h Header, p *Response)
	// WriteRefusal adds to h the header fields that describe the refusal f of the
	// request d, and returns the HTTP status.
	WriteRefusal(h Header, d RequestID, f *Refusal) int
}
