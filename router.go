package lavenderridge

import "time"

// A Router chooses the instance that is to run a request.
type Router interface {
	// Route returns an eligible instance of the request's service in s. It
	// excludes the instances in x unless no other instance is eligible, and
	// returns a Refusal with the outcome NotRun if no instance is eligible. If the
	// request is rerouted, it also refuses it if every instance is known to refuse
	// requests.
	Route(s *Snapshot, r *Request, x []InstanceID, t time.Time) (*Instance, error)
}
