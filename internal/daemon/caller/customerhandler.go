package caller

import (
	"context"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// A CustomerHandler finds out from which customer a request comes, and refuses requests
// without a valid key. It removes the key and any customer that the caller has named from
// the header.
type CustomerHandler struct {
	fields   []string
	clock    lavenderridge.Clock
	recorder lavenderridge.Recorder
	refused  atomic.Int64
	next     SnapshotHandler
}

var _ SnapshotHandler = (*CustomerHandler)(nil)

// NewCustomerHandler returns a handler that passes requests with a valid key, or without
// one to public entries, to n. Callers send their keys in the fields f of the header, which
// are removed. The handler records refusals in d.
func NewCustomerHandler(f []string, k lavenderridge.Clock, d lavenderridge.Recorder, n SnapshotHandler) *CustomerHandler {
	return &CustomerHandler{fields: f, clock: k, recorder: d, next: n}
}

// HandleMatched implements SnapshotHandler.
func (h *CustomerHandler) HandleMatched(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	if len(s.Catalogue.Customers) > 0 {
		for _, k := range h.fields {
			delete(r.Header, k)
		}
	}
	if v := caller.Authenticate(s, e, r); v != nil {
		h.refused.Add(1)
		h.recorder.Record(lavenderridge.Decision{
			Time: h.clock.Now(), Event: "RequestUnauthenticated", Subject: string(r.ID),
			Reason: "entry " + string(e.ID) + ": " + lavenderridge.AsRefusal(v).Detail, Versions: s.Versions(),
		})
		return nil, caller.Refuse(r, v)
	}
	return h.next.HandleMatched(c, s, e, r)
}

// Refused returns the number of requests that were refused for their keys.
func (h *CustomerHandler) Refused() int64 {
	return h.refused.Load()
}
