package backendserver

import (
	"context"
	"maps"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// A CustomerHandler checks the customer that another daemon has found out, and removes the
// key and any customer that the caller has named from the header. The other daemon does so
// too, unless its catalogue has no customers yet.
type CustomerHandler struct {
	fields    []string
	snapshots lavenderridge.SnapshotSource
	instance  lavenderridge.InstanceID
	next      lavenderridge.Handler
}

var _ lavenderridge.Handler = (*CustomerHandler)(nil)

// NewCustomerHandler returns a handler that passes requests to n without the header fields
// f. Refusals name the instance i as their place.
func NewCustomerHandler(f []string, s lavenderridge.SnapshotSource, i lavenderridge.InstanceID, n lavenderridge.Handler) *CustomerHandler {
	return &CustomerHandler{fields: f, snapshots: s, instance: i, next: n}
}

// Handle implements lavenderridge.Handler.
func (h *CustomerHandler) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	s := h.snapshots.Snapshot()
	if s == nil || len(s.Catalogue.Customers) == 0 {
		return h.next.Handle(c, r)
	}
	if e := backendserver.CheckCustomer(s, r); e != nil {
		f := lavenderridge.AsRefusal(e)
		f.Place = h.instance
		if f.Reason == lavenderridge.ReasonNotReady {
			f.RetryAfter = unavailableRetryAfter
		}
		return nil, f
	}
	return h.next.Handle(c, h.withoutFields(r))
}

// withoutFields returns r without the header fields of customers. The header of r stays as
// it is, because a local caller may still use it.
func (h *CustomerHandler) withoutFields(r *lavenderridge.Request) *lavenderridge.Request {
	for _, k := range h.fields {
		if _, o := r.Header[k]; !o {
			continue
		}
		q := *r
		q.Header = maps.Clone(r.Header)
		for _, k := range h.fields {
			delete(q.Header, k)
		}
		return &q
	}
	return r
}
