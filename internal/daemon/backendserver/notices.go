package backendserver

import (
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// HearNotice records the notice n in the response of the backend server to the
// request r. A response of another run than the listed one is late and says nothing
// about the current one.
func (h *OwnerHandler) HearNotice(r *lavenderridge.Request, n lavenderridge.Notice) {
	if r.Backend != h.currentRun() {
		return
	}
	t := h.clock.Now()
	if k, d := h.announced.Heard(r.Backend, n, t); k != "" {
		h.record(k, d, t)
	}
}

// limitRefusal returns the refusal of a request that has to wait for w because of the
// limit that the backend server has named.
func (h *OwnerHandler) limitRefusal(w time.Duration) error {
	n := h.Notice()
	d := fmt.Sprintf("the backend server takes %g requests a second from all daemons together, as it said %s ago", n.Limit, n.Age.Round(time.Millisecond))
	if !n.Limited {
		d = "the backend server has just ended its limit, and its rate rises again"
	}
	f := lavenderridge.AsRefusal(h.notRun(lavenderridge.ReasonBackendLimit, d, w))
	f.Heard = &n
	return f
}

// Notice returns what the backend server currently says about itself.
func (h *OwnerHandler) Notice() lavenderridge.HeardNotice {
	n := h.announced.Notice(h.currentRun(), h.clock.Now())
	n.Place = h.self().Instance
	return n
}

// RequestsSent returns the number of requests that were sent to the backend server.
func (h *OwnerHandler) RequestsSent() int64 {
	return h.requestsSent.Load()
}

// currentRun returns the run of the backend server that the instance list names, or
// "" if it names none.
func (h *OwnerHandler) currentRun() lavenderridge.BackendID {
	if s := h.snapshots.Snapshot(); s != nil {
		if n := s.Instance(h.self().Instance); n != nil {
			return n.Backend
		}
	}
	return ""
}
