package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// An Attempter makes one attempt of a request.
type Attempter interface {
	// Attempt sends the request to an eligible instance that x does not exclude. It
	// returns that instance, or "" if the request was not sent.
	Attempt(c context.Context, s *lavenderridge.Snapshot, r *lavenderridge.Request, x lavenderridge.Exclusion) (lavenderridge.InstanceID, *lavenderridge.Response, error)
}
