package backendserver

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// leavingCheckPeriod is the time between health checks of a backend server that is
// leaving.
const leavingCheckPeriod = time.Second

// HearNotice records the notice n in the response of the backend server to the
// request r. A response of another run than the listed one is late and says nothing
// about the current one.
func (h *OwnerHandler) HearNotice(r *lavenderridge.Request, n lavenderridge.Notice) {
	if r.Backend != h.currentRun() {
		return
	}
	t := h.clock.Now()
	h.recordNotice(h.announced.Heard(r.Backend, n, t))
}

// recordNotice records a decision with the event k, which may be empty, and the reason d.
func (h *OwnerHandler) recordNotice(k, d string) {
	if k == backendserver.EventLeaving {
		h.runEnded.Store(false)
	}
	if k != "" {
		h.record(k, d, h.clock.Now())
	}
}

// hearFromSender records what the sender of r has heard of the run b of the backend
// server, which matters if this daemon has restarted since and has heard nothing itself
// yet.
func (h *OwnerHandler) hearFromSender(r *lavenderridge.Request, b lavenderridge.BackendID, t time.Time) {
	if r.Heard == nil || r.Heard.Backend != r.Backend || r.Backend != b {
		return
	}
	n := *r.Heard
	n.Place = r.Sender.Instance
	h.recordNotice(h.announced.Told(n, t))
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

// leavingRefusal returns the refusal of a request because the backend server has said
// that it is leaving.
func (h *OwnerHandler) leavingRefusal() error {
	n := h.Notice()
	f := lavenderridge.AsRefusal(h.notRun(lavenderridge.ReasonLeaving, fmt.Sprintf("the backend server said %s ago that it is leaving", n.Age.Round(time.Millisecond)), unavailableRetryAfter))
	f.Heard = &n
	return f
}

// hearHealth records the notice in the health p.
func (h *OwnerHandler) hearHealth(p *lavenderridge.Health, t time.Time) {
	b := h.currentRun()
	if b != "" && p.Boot != "" && p.Boot != string(b.Name()) {
		return
	}
	h.recordNotice(h.announced.HeardHealth(b, p.Notice, p.Ready && h.runEnded.Load(), t))
}

// checkLeaving checks the health of a backend server that has said that it is leaving
// and is still listed, once each leavingCheckPeriod, since it gets no requests that would
// show its end.
func (h *OwnerHandler) checkLeaving(c context.Context) {
	t := h.clock.Now()
	if !h.announced.Leaving(h.currentRun()) || t.Sub(h.leavingCheckedAt) < leavingCheckPeriod {
		return
	}
	h.leavingCheckedAt = t
	if p, e := h.probe(c); e == nil {
		h.hearHealth(p, t)
	}
}

// limitedSlots returns how many of n slots the requests within the named limit take up
// on average, by their recent latency. Other daemons divide the load by it.
func (h *OwnerHandler) limitedSlots(n lavenderridge.Slots) lavenderridge.Slots {
	if n <= 1 || !h.announced.Limited() {
		return n
	}
	v := h.announced.Notice(h.currentRun(), h.clock.Now())
	if !v.Limited {
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
