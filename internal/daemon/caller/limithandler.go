package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// A LimitHandler refuses requests beyond the limits of their entry. While a service is
// overloaded, it sheds a fraction of the service's requests, the lower classes first.
type LimitHandler struct {
	limiter *caller.EntryLimiter
	shedder *caller.Shedder
	clock   lavenderridge.Clock
	next    SnapshotHandler
}

var _ SnapshotHandler = (*LimitHandler)(nil)

// NewLimitHandler returns a handler that passes to n the requests that l and s admit.
// The shedder may be nil. It is not needed if owners refuse requests before any work is
// done for them: it would only shed requests on account of past refusals when the
// targets accept again.
func NewLimitHandler(l *caller.EntryLimiter, s *caller.Shedder, k lavenderridge.Clock, n SnapshotHandler) *LimitHandler {
	return &LimitHandler{limiter: l, shedder: s, clock: k, next: n}
}

// HandleMatched implements SnapshotHandler.
func (h *LimitHandler) HandleMatched(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	t := h.clock.Now()
	if h.shedder != nil {
		if v := h.shedder.Admit(r.Service, r.Class, t); v != nil {
			return nil, caller.Refuse(r, v)
		}
	}
	if v := h.limiter.Admit(e, r.Class, t); v != nil {
		return nil, caller.Refuse(r, v)
	}
	defer h.limiter.Release(e)
	p, v := h.next.HandleMatched(c, s, e, r)
	if h.shedder == nil {
		return p, v
	}
	o := v == nil || lavenderridge.AsRefusal(v).Reason != lavenderridge.ReasonOverloaded
	h.shedder.Record(r.Service, o, h.clock.Now())
	return p, v
}
