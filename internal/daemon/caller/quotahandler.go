package caller

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// A QuotaHandler refuses the requests of a customer that exceed its quota at all daemons
// together. Requests without a customer or a quota pass.
type QuotaHandler struct {
	borrower *Borrower
	clock    lavenderridge.Clock
	next     SnapshotHandler
}

var _ SnapshotHandler = (*QuotaHandler)(nil)

// NewQuotaHandler returns a handler that passes to n the requests that b admits.
func NewQuotaHandler(b *Borrower, k lavenderridge.Clock, n SnapshotHandler) *QuotaHandler {
	return &QuotaHandler{borrower: b, clock: k, next: n}
}

// HandleMatched implements SnapshotHandler. A request that reached no backend server does
// not count.
func (h *QuotaHandler) HandleMatched(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	var v *lavenderridge.Customer
	if r.Customer != "" {
		v = s.Customer(r.Customer)
	}
	if v == nil || v.Quota.Rate <= 0 {
		return h.next.HandleMatched(c, s, e, r)
	}
	u, x := h.borrower.Admit(c, s, v, r.Deadline)
	if x != nil {
		return nil, caller.Refuse(r, x)
	}
	p, x := h.next.HandleMatched(c, s, e, r)
	if x != nil {
		if f := lavenderridge.AsRefusal(x); f.Outcome == lavenderridge.OutcomeNotRun && !f.Offered {
			h.borrower.GiveBack(r.Customer, u)
		}
	}
	return p, x
}
