package caller

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A RoundRobinRouter chooses the eligible instances in turn, regardless of their
// load. It is the baseline that measurements compare other routers with.
type RoundRobinRouter struct {
	next atomic.Uint64
}

var _ lavenderridge.Router = (*RoundRobinRouter)(nil)

// NewRoundRobinRouter returns a new router.
func NewRoundRobinRouter() *RoundRobinRouter {
	return &RoundRobinRouter{}
}

// Route implements lavenderridge.Router.
func (b *RoundRobinRouter) Route(s *lavenderridge.Snapshot, r *lavenderridge.Request, x lavenderridge.Exclusion, _ time.Time) (*lavenderridge.Instance, error) {
	var a, o []*lavenderridge.Instance
	for _, n := range s.Instances(r.Service) {
		switch {
		case !s.Eligible(n):
		case slices.Contains(x.Instances, n.ID):
			o = append(o, n)
		default:
			a = append(a, n)
		}
	}
	if len(a) == 0 && !x.Refusing {
		a = o
	}
	if len(a) == 0 {
		return nil, noTarget()
	}
	return a[b.next.Add(1)%uint64(len(a))], nil
}

// noTarget returns the refusal of a request whose service has no eligible
// instance.
func noTarget() *lavenderridge.Refusal {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNoTarget, "no eligible instance")
	f.RetryAfter = noTargetRetryAfter
	return f
}
