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
	// drained is when a request last found a free slot, in nanoseconds after base.
	drained atomic.Int64
}

// NewStandingQueue returns a queue that was empty at the time t.
func NewStandingQueue(t time.Time) *StandingQueue {
	return &StandingQueue{base: t}
}

// SlotFree records that a request found a free slot at the time t.
func (q *StandingQueue) SlotFree(t time.Time) {
	q.drained.Store(int64(t.Sub(q.base)))
}

// Standing reports whether the queue has not drained recently at the time t.
func (q *StandingQueue) Standing(t time.Time) bool {
	return t.Sub(q.base)-time.Duration(q.drained.Load()) >= standingInterval
}
