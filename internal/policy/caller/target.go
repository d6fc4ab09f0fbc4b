package caller

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// loadReportLifetime is the age at which a reported load is ignored. Its
	// weight decreases linearly until then.
	loadReportLifetime = 2 * time.Second
	// unknownLimit is the concurrency limit assumed for a target that has not
	// reported one. It is low because the target may be in a cold start.
	unknownLimit = 1

	// The exclusions are how long a target gets no new requests. That of an
	// overloaded target is at least overloadedExclusion and at most
	// refusedExclusion; that of a failing one doubles from failedExclusion to
	// maxFailedExclusion.
	refusedExclusion    = time.Second
	overloadedExclusion = 50 * time.Millisecond
	failedExclusion     = 250 * time.Millisecond
	maxFailedExclusion  = 5 * time.Second

	// idleBias is added to the requests in flight, so that an idle target with a
	// higher limit is preferred to an idle one with a lower limit.
	idleBias = 0.1

	// A reported load is packed as others<<loadBits | limit, where others is the
	// number of requests of other daemons.
	loadBits = 24
	loadMask = 1<<loadBits - 1
)

// target is an instance of the service with what this daemon knows of its
// state.
type target struct {
	instance *lavenderridge.Instance
	*targetState
}

// targetState is the state of one run at one instance across snapshots. All times are
// relative to the router's start. The values are hints, so they are read and
// written separately and need not be consistent with each other.
type targetState struct {
	announcedState
	// run is the run of the backend server; it doesn't change.
	run lavenderridge.BackendID
	// inFlight counts the requests of this daemon at the target.
	inFlight atomic.Int64
	// reportedLoad holds the requests of other daemons and the limit, packed.
	reportedLoad atomic.Uint64
	reportedAt   atomic.Int64
	// pace and failureRate hold the bits of floating-point numbers: the reported
	// pace and the fraction of responses that are server errors.
	pace, failureRate atomic.Uint64
	// backlog is the reported time that a response waits for the target's link.
	backlog atomic.Int64
	// excludedUntil is the time before which the target gets no new requests.
	excludedUntil atomic.Int64
	// failures counts the attempts that failed since the last success.
	failures atomic.Int32
}

// usable reports whether the target may be chosen. After a failure, only one
// request at a time is sent to it until one succeeds.
func (n *targetState) usable(t time.Duration) bool {
	if time.Duration(n.excludedUntil.Load()) > t {
		return false
	}
	return n.failures.Load() == 0 || n.inFlight.Load() == 0
}

// utilisation returns the estimated requests in flight at the target divided by
// its concurrency limit.
func (n *targetState) utilisation(t time.Duration) float64 {
	l := n.reportedLoad.Load()
	a := t - time.Duration(n.reportedAt.Load())
	o := float64(l>>loadBits) * max(0, 1-float64(a)/float64(loadReportLifetime))
	return (float64(n.inFlight.Load()) + o + idleBias) / float64(max(l&loadMask, unknownLimit))
}

func (n *targetState) overloaded(t time.Duration) bool {
	return n.utilisation(t) > 1
}

// begin counts a request of this daemon that is sent to the target.
func (n *targetState) begin() {
	n.inFlight.Add(1)
}

// end removes one request from the count and returns the new count. The count
// does not fall below zero: a target that left the list and returned, or has another
// run, has a new state, which does not count the requests that began before.
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

// recordLoad stores the load l that the target reported at the time t, without
// the k requests of this daemon that it includes, because inFlight counts those
// exactly. A load without a limit is ignored.
func (n *targetState) recordLoad(l lavenderridge.Load, k int64, t time.Duration) {
	if l.Limit <= 0 {
		return
	}
	o := max(int64(l.InFlight)+int64(l.Queued)-k, 0)
	n.reportedLoad.Store(uint64(min(o, loadMask))<<loadBits | uint64(min(l.Limit, loadMask)))
	n.reportedAt.Store(int64(t))
	n.backlog.Store(int64(l.Backlog))
	if l.Pace > 0 {
		n.pace.Store(math.Float64bits(float64(l.Pace)))
	}
}

// recordOutcome excludes the target for a time that depends on the reason of
// the refusal f; nil is a success. The exclusion doubles with each consecutive
// failure.
func (n *targetState) recordOutcome(f *lavenderridge.Refusal, t time.Duration) {
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

// exclude extends the exclusion of the target to the time u; it never shortens
// it.
func (n *targetState) exclude(u time.Duration) {
	for {
		v := n.excludedUntil.Load()
		if int64(u) <= v || n.excludedUntil.CompareAndSwap(v, int64(u)) {
			return
		}
	}
}
