package backendserver

import (
	"sync/atomic"
	"time"
)

// standingInterval is how long no request may have found a free slot until the queue
// counts as standing. It exceeds the bursts that a backend server works off by itself.
const standingInterval = 250 * time.Millisecond

// A StandingQueue detects a queue that does not drain: for some time every request has
// had to wait. Such a queue delays all requests and serves no more of them than a short
// one. It is safe for concurrent use.
type StandingQueue struct {
	base time.Time
	// fullSince is when the first request since the last one with a free slot found none,
	// in nanoseconds after base, or notFull.
	fullSince atomic.Int64
}

// notFull is the value of fullSince while requests find free slots.
const notFull = -1

// NewStandingQueue returns a queue that was empty at the time t.
func NewStandingQueue(t time.Time) *StandingQueue {
	q := &StandingQueue{base: t}
	q.fullSince.Store(notFull)
	return q
}

// SlotFree records that a request found a free slot.
func (q *StandingQueue) SlotFree() {
	if q.fullSince.Load() != notFull {
		q.fullSince.Store(notFull)
	}
}

// NoSlotFree records that a request found no free slot at the time t.
func (q *StandingQueue) NoSlotFree(t time.Time) {
	if q.fullSince.Load() == notFull {
		q.fullSince.CompareAndSwap(notFull, max(0, int64(t.Sub(q.base))))
	}
}

// Standing reports whether the queue has not drained recently at the time t.
func (q *StandingQueue) Standing(t time.Time) bool {
	n := q.fullSince.Load()
	return n != notFull && t.Sub(q.base)-time.Duration(n) >= standingInterval
}
