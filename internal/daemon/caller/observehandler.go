package caller

import (
	"context"
	"errors"
	"net/http"

	"github.com/lavenderridge/lavenderridge"
)

// An ObserveHandler reports the result of each request to an observer. It omits
// requests that the caller cancelled before the response, because they show nothing
// about the service.
type ObserveHandler struct {
	observer   lavenderridge.Observer
	clock      lavenderridge.Clock
	dataCentre lavenderridge.DataCentreID
	next       SnapshotHandler
}

var _ SnapshotHandler = (*ObserveHandler)(nil)

// NewObserveHandler returns a handler that passes requests to n and reports the results
// to o. The data centre d is the one in which the observations are made.
func NewObserveHandler(o lavenderridge.Observer, k lavenderridge.Clock, d lavenderridge.DataCentreID, n SnapshotHandler) *ObserveHandler {
	return &ObserveHandler{observer: o, clock: k, dataCentre: d, next: n}
}

// HandleMatched implements SnapshotHandler.
func (h *ObserveHandler) HandleMatched(c context.Context, s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	b := h.clock.Now()
	p, v := h.next.HandleMatched(c, s, e, r)
	if errors.Is(c.Err(), context.Canceled) {
		return p, v
	}
	t := h.clock.Now()
	o := lavenderridge.Observation{
		Time: t, Request: r.ID, Entry: e.ID, DataCentre: h.dataCentre, Versions: s.Versions(), Latency: t.Sub(b), Service: r.Service, Customer: r.Customer,
	}
	if v != nil {
		o.Refusal = lavenderridge.AsRefusal(v)
	} else {
		o.Target, o.Attempt, o.Status, o.Limited = p.Sender.Instance, p.Attempt, p.Status, p.Limited
		o.Good = p.Status < http.StatusInternalServerError && (e.Objective.Latency == 0 || o.Latency <= e.Objective.Latency)
	}
	h.observer.Observe(o)
	return p, v
}
