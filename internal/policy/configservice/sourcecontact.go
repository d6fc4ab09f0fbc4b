package configservice

import (
	"sync/atomic"
	"time"
)

// A SourceContact tells how long ago this daemon and any daemon that it has
// heard of had an answer from the source.
type SourceContact struct {
	base time.Time
	own  atomic.Int64
	any  atomic.Int64
}

// NewSourceContact returns a contact that counts ages from the time t.
func NewSourceContact(t time.Time) *SourceContact {
	return &SourceContact{base: t}
}

// Answered takes in that the source answered this daemon at the time t.
func (s *SourceContact) Answered(t time.Time) {
	raise(&s.own, int64(t.Sub(s.base)))
	raise(&s.any, int64(t.Sub(s.base)))
}

// Heard takes in that another daemon knew of a contact of the age a at the
// time t. Zero tells that it knew of none.
func (s *SourceContact) Heard(a time.Duration, t time.Time) {
	if a > 0 {
		raise(&s.any, int64(t.Sub(s.base)-a))
	}
}

// Age returns the age of the last contact that any daemon had.
func (s *SourceContact) Age(t time.Time) time.Duration {
	return t.Sub(s.base) - time.Duration(s.any.Load())
}

// OwnAge returns the age of this daemon's last contact.
func (s *SourceContact) OwnAge(t time.Time) time.Duration {
	return t.Sub(s.base) - time.Duration(s.own.Load())
}

// Known returns the age to tell other daemons: that of the last contact, or
// zero when none is known of.
func (s *SourceContact) Known(t time.Time) time.Duration {
	if s.any.Load() <= 0 {
		return 0
	}
	return max(s.Age(t), 1)
}

func raise(a *atomic.Int64, v int64) {
	for o := a.Load(); o < v; o = a.Load() {
		if a.CompareAndSwap(o, v) {
			return
		}
	}
}
