package backendserver

import (
	"fmt"
	"math"
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

// hearFromSender records what the sender of r has heard of the backend server, which
// matters if this daemon has restarted since and has heard nothing itself yet.
func (h *OwnerHandler) hearFromSender(r *lavenderridge.Request, t time.Time) {
	if r.Heard == nil || r.Heard.Backend != r.Backend || r.Backend != h.currentRun() {
		return
	}
	n := *r.Heard
	n.Place = r.Sender.Instance
	if k, d := h.announced.Told(n, t); k != "" {
		h.record(k, d, t)
	}
}

// limitRefusal returns the refusal of a request that has to wait for w because of the
// limit that the backend server has named.
func (h *OwnerHandler) limitRefusal(w time.Duration) error {
	n := h.Notice()
	d := fmt.Sprintf("the backend server takes %g requests a second from all daemons together, heard by %s %s ago", n.Limit, n.Place, n.Age.Round(time.Millisecond))
	if !n.Limited {
		d = "the backend server has just ended its limit, and its rate rises again"
	}
	f := lavenderridge.AsRefusal(h.notRun(lavenderridge.ReasonBackendLimit, d, w))
	f.Heard = &n
	return f
}

// limitedSlots returns how many of n slots the requests within the named limit take up
// on average, by their recent latency. Other daemons divide the load by it.
func (h *OwnerHandler) limitedSlots(n lavenderridge.Slots) lavenderridge.Slots {
	v := h.announced.Notice(h.currentRun(), h.clock.Now())
	if !v.Limited || n <= 1 {
		return n
	}
	return max(1, min(n, lavenderridge.Slots(math.Ceil(min(float64(v.Limit)*h.limiter.Latency().Seconds(), float64(n))))))
}

// Notice returns what the backend server currently says about itself.
func (h *OwnerHandler) Notice() lavenderridge.HeardNotice {
	n := h.announced.Notice(h.currentRun(), h.clock.Now())
	if n.Place == "" {
		n.Place = h.self().Instance
	}
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
