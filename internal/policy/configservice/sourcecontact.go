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
