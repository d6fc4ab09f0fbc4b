package backendserver

import (
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
