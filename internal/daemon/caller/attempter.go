package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// An Attempter makes one attempt of a request.
type Attempter interface {
	// Attempt gives the request to an instance outside x where there is one,
	// and returns the instance, or "" when the request went nowhere.
	Attempt(c context.Context, s *lavenderridge.Snapshot, r *lavenderridge.Request, x []lavenderridge.InstanceID) (lavenderridge.InstanceID, *lavenderridge.Response, error)
}
