package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderridge/lavenderridge"
)

// A HomeRouter sends each keyed request to its home, the eligible instance of
// the service with the highest rendezvous hash for the key.
type HomeRouter struct{}

var _ lavenderridge.Router = (*HomeRouter)(nil)

// NewHomeRouter returns a router to homes.
func NewHomeRouter() *HomeRouter {
	return &HomeRouter{}
}

// Route implements lavenderridge.Router. It ignores the instances to exclude,
// because only the home knows whether the request has run.
func (*HomeRouter) Route(s *lavenderridge.Snapshot, r *lavenderridge.Request, _ lavenderridge.Exclusion, _ time.Time) (*lavenderridge.Instance, error) {
	n := Home(s, r.Service, r.Key)
	if n == nil {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNoTarget, "no eligible instance")
	}
	return n, nil
}

// Home returns the home of the key k under the snapshot s, or nil when no
// instance of the service is eligible.
func Home(s *lavenderridge.Snapshot, d lavenderridge.ServiceID, k lavenderridge.IdempotencyKey) *lavenderridge.Instance {
	var b *lavenderridge.Instance
	var m uint64
	for _, n := range s.Instances(d) {
		if !s.Eligible(n) {
			continue
		}
		if h := score(k, n.ID); b == nil || h > m {
			b, m = n, h
		}
	}
	return b
}

// score returns the rendezvous hash of the key k for the instance n.
func score(k lavenderridge.IdempotencyKey, n lavenderridge.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(k))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(n))
	return d.Sum64()
}
