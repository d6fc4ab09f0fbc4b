package caller

import (
	"context"
	"math/rand/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// A ReturnHandler tells refused callers that named a deadline when to come back.
type ReturnHandler struct {
	times *caller.ReturnTimes
	clock lavenderridge.Clock
	next  lavenderridge.Handler
}

var _ lavenderridge.Handler = (*ReturnHandler)(nil)

// NewReturnHandler returns a handler that passes requests to n, which sets their entry.
func NewReturnHandler(k lavenderridge.Clock, n lavenderridge.Handler) *ReturnHandler {
	return &ReturnHandler{times: caller.NewReturnTimes(rand.Float64), clock: k, next: n}
}

// Handle implements lavenderridge.Handler.
func (h *ReturnHandler) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	t, d := h.clock.Now(), r.Deadline
	p, e := h.next.Handle(c, r)
	if d.IsZero() || r.Entry == "" {
		return p, e
	}
	b := h.times.Arrived(r.Entry, d.Sub(t))
	if e == nil {
		return p, nil
	}
	v := *lavenderridge.AsRefusal(e)
	v.RetryAfter = h.times.Advise(&v, d.Sub(h.clock.Now()), b)
	return nil, &v
}
