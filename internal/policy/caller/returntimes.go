package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// freshShare is the share of the usual time until the deadline from which a request
	// counts as its caller's first attempt. The rest is for the way to the daemon.
	freshShare = 0.97
	// usualTimeWeight is the number of requests with a shorter time over which the usual
	// time falls, as when callers begin to use another.
	usualTimeWeight = 256
	// honouredShare is the share of the time left that callers wait at most.
	honouredShare = 1.0 / 3
)

// ReturnTimes advises callers of an overloaded service when to come back. A caller's first
// attempt comes back soon, while its response can still be in time. A caller that has been
// refused before has found the overload to last, and has few attempts left: it is told to
// come back as late as callers agree to, spread over a part of that time. A refused caller
// is recognised by its deadline, which is nearer than that of other requests of the entry.
type ReturnTimes struct {
	entries sync.Map // of lavenderridge.EntryID to *atomic.Int64, the usual time until the deadline
	random  func() float64
}

// NewReturnTimes returns advice with random numbers in [0, 1) from f.
func NewReturnTimes(f func() float64) *ReturnTimes {
	return &ReturnTimes{random: f}
}

// Arrived records a request of the entry e whose deadline was d after its arrival, and
// reports whether its caller has probably been refused before.
func (r *ReturnTimes) Arrived(e lavenderridge.EntryID, d time.Duration) bool {
	p, o := r.entries.Load(e)
	if !o {
		p, _ = r.entries.LoadOrStore(e, &atomic.Int64{})
	}
	v := p.(*atomic.Int64)
	u := v.Load()
	if int64(d) >= u {
		v.CompareAndSwap(u, int64(d))
		return false
	}
	v.CompareAndSwap(u, u-(u-int64(d))/usualTimeWeight)
	return float64(d) < freshShare*float64(u)
}

// Advise returns how long a caller with the time l left should wait after the refusal f. The
// flag b is set if it has been refused before.
func (r *ReturnTimes) Advise(f *lavenderridge.Refusal, l time.Duration, b bool) time.Duration {
	if !b || f.Reason != lavenderridge.ReasonOverloaded || f.Outcome != lavenderridge.OutcomeNotRun {
		return f.RetryAfter
	}
	return max(f.RetryAfter, time.Duration(float64(l)*honouredShare*(1+r.random())/2))
}
