package caller

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// leavingMemory is how long a backend server that said that it is leaving gets no
// requests while it stays listed. Where the platform doesn't identify runs, the next one
// is used after that.
const leavingMemory = 30 * time.Second

// confirmLimitAfter is the age at which a limit is confirmed by a request, even if other
// targets look better: only a response can end a limit.
const confirmLimitAfter = 2 * time.Second

// announcedState is what a daemon knows of the announcements of the run at one target.
// Like the rest of the state of a target, it consists of hints for the choice of targets:
// the owner keeps the limit.
type announcedState struct {
	heard atomic.Pointer[heardAt]
	// fullUntil is, for each class, the time before which the limit leaves no room for
	// requests of that class.
	fullUntil [lavenderridge.ClassCritical + 1]atomic.Int64
}

// heardAt is a notice and the time at which it was that old.
type heardAt struct {
	lavenderridge.HeardNotice
	at time.Duration
}

// unconfirmed reports whether the limit was heard so long ago that a request should find
// out whether it still holds. One at a time does.
func (n *targetState) unconfirmed(t time.Duration) bool {
	h := n.heard.Load()
	return h != nil && h.Limited && h.Age+t-h.at >= confirmLimitAfter && n.inFlight.Load() == 0
}

// notice records the notice h at the time t. One that says nothing is kept only in
// place of one that said something.
func (n *announcedState) notice(h lavenderridge.HeardNotice, t time.Duration) {
	o := n.heard.Load()
	if !h.Limited && !h.Leaving && (o == nil || !o.Limited && !o.Leaving) {
		return
	}
	if o != nil {
		h.Leaving = h.Leaving || o.Leaving && t-o.at < leavingMemory
		if h.Invalid {
			h.Limited, h.Limit = o.Limited, o.Limit
		}
	}
	n.heard.Store(&heardAt{HeardNotice: h, at: t})
}

// full records that there is no room for requests of the class k and below until t.
func (n *announcedState) full(k lavenderridge.Class, t time.Duration) {
	for i := range min(int(k)+1, len(n.fullUntil)) {
		n.fullUntil[i].Store(int64(t))
	}
}

// roomIn returns how long there is no room for requests of the class k from t on.
func (n *announcedState) roomIn(k lavenderridge.Class, t time.Duration) time.Duration {
	return max(0, time.Duration(n.fullUntil[min(int(k), len(n.fullUntil)-1)].Load())-t)
}

// at returns the notice with its age at t, or nil if it says nothing that matters.
func (n *announcedState) at(t time.Duration) *lavenderridge.HeardNotice {
	h := n.heard.Load()
	if h == nil || !h.Limited && !h.Leaving {
		return nil
	}
	v := h.HeardNotice
	v.Age += t - h.at
	return &v
}

// leaving reports whether the run has said that it is leaving.
func (n *announcedState) leaving(t time.Duration) bool {
	h := n.heard.Load()
	return h != nil && h.Leaving && t-h.at < leavingMemory
}
