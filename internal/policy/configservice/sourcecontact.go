package configservice

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A SourceContact holds the times of the latest responses of the source to this
// daemon and, as far as its neighbours reported, to any daemon. It is safe for
// concurrent use.
type SourceContact struct {
	base time.Time
	// own and any are the times of the latest response to this daemon and to any
	// daemon, in nanoseconds since base.
	own atomic.Int64
	any atomic.Int64
	// era is that of the latest response to this daemon.
	era atomic.Uint64
	// followsUntil is the time up to which this daemon follows the source, in nanoseconds
	// since base, or zero.
	followsUntil atomic.Int64
	// callUntil is when the wait of the latest call is over, in nanoseconds since base, and
	// failed whether it failed.
	callUntil atomic.Int64
	failed    atomic.Bool
	heard     atomic.Pointer[heardFollowing]
}

// heardFollowing is what another daemon said about one that followed the source at a time.
type heardFollowing struct {
	by lavenderridge.InstanceID
	at time.Time
}

// NewSourceContact returns a contact without any response. Until the first one,
// ages are measured from the time t.
func NewSourceContact(t time.Time) *SourceContact {
	return &SourceContact{base: t}
}

// SourceResponded records that the source responded to this daemon at the time t.
func (s *SourceContact) SourceResponded(t time.Time) {
	storeMax(&s.own, int64(t.Sub(s.base)))
	storeMax(&s.any, int64(t.Sub(s.base)))
}

// EraResponded records the era e of a response to this daemon, which is never lower than
// the one before, because such responses are dropped.
func (s *SourceContact) EraResponded(e lavenderridge.Era) {
	s.era.Store(uint64(e))
}

// Era returns the era of the latest response of the source to this daemon.
func (s *SourceContact) Era() lavenderridge.Era {
	return lavenderridge.Era(s.era.Load())
}

// PeerReported records that a neighbour reported, at the time t, that the last
// response of the source known to it had the age a. Zero means that it knew of
// none.
func (s *SourceContact) PeerReported(a time.Duration, t time.Time) {
	if a > 0 {
		storeMax(&s.any, int64(t.Sub(s.base)-a))
	}
}

// CallBegun records a call at the time t that the source answers at a change, or after the
// time w. It counts only if the source responded to the call before.
func (s *SourceContact) CallBegun(t time.Time, w time.Duration) {
	u := int64(t.Add(w).Sub(s.base))
	s.callUntil.Store(u)
	if s.own.Load() > 0 && !s.failed.Load() {
		s.followsUntil.Store(u)
	}
}

// CallEnded records the end of that call at the time t, with the error e if it failed. A
// call that fails within its wait was cut then; one that gets no response proves nothing.
func (s *SourceContact) CallEnded(t time.Time, e error) {
	n := max(int64(t.Sub(s.base)), 1)
	o := s.failed.Swap(e != nil)
	switch {
	case e == nil:
		s.followsUntil.Store(n)
	case !o && n < s.callUntil.Load():
		s.followsUntil.Store(n)
	default:
		s.followsUntil.Store(s.own.Load())
	}
}

// PeerFollows records what the reply f to a call that began at the time t says about
// another daemon.
func (s *SourceContact) PeerFollows(f lavenderridge.Following, t time.Time) {
	n := &heardFollowing{by: f.By, at: t.Add(-max(f.Age, 0))}
	for o := s.heard.Load(); o == nil || o.at.Before(n.at); o = s.heard.Load() {
		if s.heard.CompareAndSwap(o, n) {
			return
		}
	}
}

// HeardFollowing returns the latest time at which another daemon is known to have followed
// the source, or the zero time.
func (s *SourceContact) HeardFollowing() time.Time {
	if h := s.heard.Load(); h != nil {
		return h.at
	}
	return time.Time{}
}

// Following returns what the daemon of the instance n tells others at the time t.
func (s *SourceContact) Following(n lavenderridge.InstanceID, t time.Time) lavenderridge.Following {
	f := lavenderridge.Following{}
	if v := s.followsUntil.Load(); v > 0 {
		f = lavenderridge.Following{By: n, Age: max(t.Sub(s.base)-time.Duration(v), 0)}
	}
	if h := s.heard.Load(); h != nil && (f.By == "" || t.Sub(h.at) < f.Age) {
		f = lavenderridge.Following{By: h.by, Age: max(t.Sub(h.at), 0)}
	}
	return f
}

// Age returns the time since the source last responded to any daemon.
func (s *SourceContact) Age(t time.Time) time.Duration {
	return t.Sub(s.base) - time.Duration(s.any.Load())
}

// OwnAge returns the time since the source last responded to this daemon.
func (s *SourceContact) OwnAge(t time.Time) time.Duration {
	return t.Sub(s.base) - time.Duration(s.own.Load())
}

// ReportedAge returns the age that this daemon reports to its neighbours: the time
// since the last response to any daemon, at least 1 ns, or zero if there was
// none.
func (s *SourceContact) ReportedAge(t time.Time) time.Duration {
	if s.any.Load() <= 0 {
		return 0
	}
	return max(s.Age(t), 1)
}

// storeMax sets a to v unless a is greater already.
func storeMax(a *atomic.Int64, v int64) {
	for o := a.Load(); o < v; o = a.Load() {
		if a.CompareAndSwap(o, v) {
			return
		}
	}
}
