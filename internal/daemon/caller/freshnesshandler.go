package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/caller"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// A FreshnessHandler refuses requests with a key while the snapshot in which the key was
// found may lack its revocation.
type FreshnessHandler struct {
	limit *configservice.FreshnessLimit
	next  SnapshotHandler
}

var _ SnapshotHandler = (*FreshnessHandler)(nil)

// NewFreshnessHandler returns a handler that passes to n the requests that l admits.
func NewFreshnessHandler(l *configservice.FreshnessLimit, n SnapshotHandler) *FreshnessHandler {
	return &FreshnessHandler{limit: l, next: n}
}

// HandleMatched implements SnapshotHandler.
func (h *FreshnessHandler) HandleMatched(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	if v := h.limit.Check(r, s.Versions().Catalogue); v != nil {
		return nil, policy.Refuse(r, v)
	}
	return h.next.HandleMatched(c, s, e, r)
}
