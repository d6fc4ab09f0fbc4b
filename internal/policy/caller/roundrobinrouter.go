package caller

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A RoundRobinRouter takes the eligible instances in turn and knows nothing of
// their load. It is the baseline of measurements.
type RoundRobinRouter struct {
	next atomic.Uint64
}

var _ lavenderridge.Router = (*RoundRobinRouter)(nil)

// NewRoundRobinRouter returns a router that begins with the first instance.
func NewRoundRobinRouter() *RoundRobinRouter {
	return &RoundRobinRouter{}
}

// Route implements lavenderridge.Router.
func (b *RoundRobinRouter) Route(s *lavenderridge.Snapshot, r *lavenderridge.Request, x []lavenderridge.InstanceID, _ time.Time) (*lavenderridge.Instance, error) {
	var a, o []*lavenderridge.Instance
	for _, n := range s.Instances(r.Service) {
		switch {
		case !s.Eligible(n):
		case slices.Contains(x, n.ID):
			o = append(o, n)
		default:
			a = append(a, n)
		}
	}
	if len(a) == 0 {
		a = o
	}
	if len(a) == 0 {
		return nil, noTarget()
	}
	return a[b.next.Add(1)%uint64(len(a))], nil
}

func noTarget() *lavenderridge.Refusal {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNoTarget, "no eligible instance")
	f.RetryAfter = noTargetRetryAfter
	return f
}
