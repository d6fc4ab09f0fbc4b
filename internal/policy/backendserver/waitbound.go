package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// minWaitShare is the share of its latency objective that a request may wait for a slot of
// a standing queue, however long the slow requests of its entry run.
const minWaitShare = 0.125

// A WaitBound decides until when a request may wait for a slot of the backend server. While
// the queue drains now and then, a request may wait as long as it usually still ends within
// its objective. A standing queue would make nearly all requests start at that last
// moment and end late, whichever of them run. So while the queue stands, a request may wait
// only so long that most requests of its entry end in time; the others are refused while
// they have time left for another instance.
type WaitBound struct {
	usual EntryAverages[time.Duration]
	slow  EntryQuantiles[time.Duration]
	queue *StandingQueue
}

// NewWaitBound returns a bound for a backend server whose queue is empty at the time t.
func NewWaitBound(t time.Time) *WaitBound {
	return &WaitBound{queue: NewStandingQueue(t)}
}

// Observe records that a request of the entry e ran for d.
func (b *WaitBound) Observe(e lavenderridge.EntryID, d time.Duration) {
	b.usual.Observe(e, d)
	b.slow.Observe(e, d)
}

// SlotFree records that a request found a free slot.
func (b *WaitBound) SlotFree() {
	b.queue.SlotFree()
}

// NoSlotFree records that a request found no free slot at the time t.
func (b *WaitBound) NoSlotFree(t time.Time) {
	b.queue.NoSlotFree(t)
}

// Standing reports whether the queue is standing at the time t.
func (b *WaitBound) Standing(t time.Time) bool {
	return b.queue.Standing(t)
}

// Usual returns the average time that requests of the entry e run, or zero if none has.
func (b *WaitBound) Usual(e lavenderridge.EntryID) time.Duration {
	return b.usual.Value(e)
}

// LatestStart returns until when a request of the entry e may wait at the time t. Its
// objective ends at o, d after it arrived; zero for d if that is not known.
func (b *WaitBound) LatestStart(e lavenderridge.EntryID, o time.Time, d time.Duration, t time.Time) time.Time {
	u := o.Add(-b.usual.Value(e))
	if !b.queue.Standing(t) {
		return u
	}
	l := o.Add(-b.slow.Value(e))
	if f := o.Add(-time.Duration(float64(d) * (1 - minWaitShare))); d > 0 && f.After(l) {
		l = f
	}
	if u.Before(l) {
		return u
	}
	return l
}
