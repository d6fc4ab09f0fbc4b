package caller

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A RandomRouter chooses any eligible instance.
type RandomRouter struct{}

var _ lavenderridge.Router = (*RandomRouter)(nil)

// NewRandomRouter returns a router that chooses at random.
func NewRandomRouter() *RandomRouter {
	return &RandomRouter{}
}

// Route implements lavenderridge.Router.
func (*RandomRouter) Route(s *lavenderridge.Snapshot, r *lavenderridge.Request, x []lavenderridge.InstanceID, _ time.Time) (*lavenderridge.Instance, error) {
	var a []*lavenderridge.Instance
	for _, n := range s.Instances(r.Service) {
		if s.Eligible(n) && !slices.Contains(x, n.ID) {
			a = append(a, n)
		}
	}
	if len(a) == 0 {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNoTarget, "no eligible instance")
	}
	return a[rand.IntN(len(a))], nil
}
