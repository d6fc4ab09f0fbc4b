package caller

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// reportLife is the age at which a reported load counts for nothing.
	reportLife = 2 * time.Second
	// unknownLimit is the assumed limit of a target that has not reported one,
	// because it may be in a cold start.
	unknownLimit = 1

	refusedExclusion    = time.Second
	overloadedExclusion = 50 * time.Millisecond
	failedExclusion     = 250 * time.Millisecond
	maxFailedExclusion  = 5 * time.Second

	// idleCost makes an idle target with a higher limit cheaper than an idle
	// one with a lower limit.
	idleCost = 0.1

	// A reported load is packed as others<<loadBits | limit.
	loadBits = 24
	loadMask = 1<<loadBits - 1
)

// target is what this daemon knows of one instance. All times are since the
// router's start. Its fields are hints, so reading them one by one is enough.
type target struct {
	instance *lavenderridge.Instance
	*targetState
}

// targetState outlives the snapshots that list its instance.
type targetState struct {
	inFlight atomic.Int64
	// reported holds the requests of other daemons and the limit.
	reported   atomic.Uint64
	reportedAt atomic.Int64
	// pace and failing are the bits of floating-point numbers: the reported pace
	// and the part of responses that tell of a failure.
	pace, failing atomic.Uint64
	// backlog is the reported time that responses wait for the target's link.
	backlog atomic.Int64
	// excludedUntil ends the time in which the target gets no new work.
	excludedUntil atomic.Int64
	// failures counts the attempts that failed without a success between them.
	failures atomic.Int32
}

// usable reports whether the target may be chosen. After a failure only one
// request at a time tries it, until one succeeds.
func (n *targetState) usable(t time.Duration) bool {
	if time.Duration(n.excludedUntil.Load()) > t {
		return false
	}
	return n.failures.Load() == 0 || n.inFlight.Load() == 0
}

// cost returns the part of its limit that the target is thought to bear.
func (n *targetState) cost(t time.Duration) float64 {
	l := n.reported.Load()
	a := t - time.Duration(n.reportedAt.Load())
	o := float64(l>>loadBits) * max(0, 1-float64(a)/float64(reportLife))
	return (float64(n.inFlight.Load()) + o + idleCost) / float64(max(l&loadMask, unknownLimit))
}

func (n *targetState) overloaded(t time.Duration) bool {
	return n.cost(t) > 1
}

func (n *targetState) begin() {
	n.inFlight.Add(1)
}

// end takes one request away. The count stays above zero, because a target
// that left the list and came back has not seen the beginning of all.
func (n *targetState) end() int64 {
	for {
		v := n.inFlight.Load()
		if v <= 0 {
			return 0
		}
		if n.inFlight.CompareAndSwap(v, v-1) {
			return v - 1
		}
	}
}

// report keeps the load l. What the daemon itself has in flight, k, is counted
// exactly and is taken out of it.
func (n *targetState) report(l lavenderridge.Load, k int64, t time.Duration) {
	if l.Limit <= 0 {
		return
	}
	o := max(int64(l.InFlight)+int64(l.Queued)-k, 0)
	n.reported.Store(uint64(min(o, loadMask))<<loadBits | uint64(min(l.Limit, loadMask)))
	n.reportedAt.Store(int64(t))
	n.backlog.Store(int64(l.Backlog))
	if l.Pace > 0 {
		n.pace.Store(math.Float64bits(float64(l.Pace)))
	}
}

// learn keeps what the refusal f tells of the target; nil is a success.
func (n *targetState) learn(f *lavenderridge.Refusal, t time.Duration) {
	if f == nil {
		n.failures.Store(0)
		return
	}
	switch f.Reason {
	case lavenderridge.ReasonStopping, lavenderridge.ReasonLeaving, lavenderridge.ReasonOutOfService,
		lavenderridge.ReasonNotReady, lavenderridge.ReasonWrongTarget:
		n.exclude(t + refusedExclusion)
	case lavenderridge.ReasonOverloaded:
		n.exclude(t + min(max(f.RetryAfter, overloadedExclusion), refusedExclusion))
	case lavenderridge.ReasonUnreachable, lavenderridge.ReasonConnectionLost,
		lavenderridge.ReasonBadResponse, lavenderridge.ReasonDeadline:
		c := min(n.failures.Add(1), 10)
		n.exclude(t + min(failedExclusion<<(c-1), maxFailedExclusion))
	}
}

func (n *targetState) exclude(u time.Duration) {
	for {
		v := n.excludedUntil.Load()
		if int64(u) <= v || n.excludedUntil.CompareAndSwap(v, int64(u)) {
			return
		}
	}
}
