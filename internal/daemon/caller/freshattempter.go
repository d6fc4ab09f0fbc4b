package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// A FreshAttempter makes no further attempt of a request with a key while the catalogue is
// too old, for example when the machine was suspended after the request had been admitted.
// The first attempt follows the check of the FreshnessHandler at once.
type FreshAttempter struct {
	limit *configservice.FreshnessLimit
	next  Attempter
}

var _ Attempter = (*FreshAttempter)(nil)

// NewFreshAttempter returns an attempter that passes to n the attempts that l admits.
func NewFreshAttempter(l *configservice.FreshnessLimit, n Attempter) *FreshAttempter {
	return &FreshAttempter{limit: l, next: n}
}

// Attempt implements Attempter.
func (h *FreshAttempter) Attempt(c context.Context, s *lavenderridge.Snapshot, r *lavenderridge.Request, x lavenderridge.Exclusion) (lavenderridge.InstanceID, *lavenderridge.Response, error) {
	if r.Attempt > 1 {
		if v := h.limit.Check(r, s.Versions().Catalogue); v != nil {
			return "", nil, v
		}
	}
	return h.next.Attempt(c, s, r, x)
}
