package lavenderridge

import "time"

// A CallerProtocol translates the HTTP header fields of callers.
type CallerProtocol interface {
	// ReadRequest fills in what the header fields of r, which arrived at t, say
	// of it. The error is a Refusal.
	ReadRequest(r *Request, t time.Time) error
	// WriteResponse adds to h what a caller is told beside the response p.
	WriteResponse(h Header, p *Response)
	// WriteRefusal adds to h what a caller is told of the refusal f of the
	// request d, and returns the status.
	WriteRefusal(h Header, d RequestID, f *Refusal) int
}
