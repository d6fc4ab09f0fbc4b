package lavenderridge

import "time"

// A Router chooses the instance that is to run a request.
type Router interface {
	// Route returns an eligible instance of the request's service in s. It
	// leaves out the instances in x unless no other is left, and returns a
	// Refusal with the outcome NotRun when there is none.
	Route(s *Snapshot, r *Request, x []InstanceID, t time.Time) (*Instance, error)
}
