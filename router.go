package lavenderridge

import "time"

// A Router chooses the instance that is to run a request.
type Router interface {
	// Route returns an eligible instance of the request's service in s that x does
	// not exclude. It returns a Refusal with the outcome NotRun if there is none. If it
	// passes over an instance for a limit, it sets r.Limited.
	Route(s *Snapshot, r *Request, x Exclusion, t time.Time) (*Instance, error)
}
