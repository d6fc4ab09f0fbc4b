package backendserver

import (
	"math"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// failureMemoryTime is the time constant with which results are forgotten.
	failureMemoryTime = 2 * time.Second
	// minFailures is the weight of failures below which nothing is refused.
	minFailures = 4.0
	// successMultiple is how many requests are let in for each success.
	successMultiple = 1.4
	// minAdmitted is the part that is always let in, to find out when the
	// backend server answers again.
	minAdmitted = 0.1
)

// A FailureThrottle lets in fewer requests of an entry while the backend server
// fails many of them, as it does when the calls that they need are refused.
// What would fail after using up its slots is refused before.
type FailureThrottle struct {
	random  func() float64
	mutex   sync.Mutex
	entries map[lavenderridge.EntryID]*results
}

// results holds the weights of what became of an entry's requests.
type results struct {
	good, bad float64
	time      time.Time
}

// NewFailureThrottle returns a throttle without memory. The function f gives
// random numbers from 0 to below 1.
func NewFailureThrottle(f func() float64) *FailureThrottle {
	return &FailureThrottle{random: f, entries: make(map[lavenderridge.EntryID]*results)}
}

// Admit reports whether a request of the entry e may run at the time t.
func (f *FailureThrottle) Admit(e lavenderridge.EntryID, t time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.entries[e]
	if r == nil {
		return true
	}
	r.fade(t)
	if r.bad < minFailures {
		return true
	}
	return f.random() < max(minAdmitted, successMultiple*r.good/(r.good+r.bad))
}

// Ended takes in that a request of the entry e ended at the time t, well when o
// is set.
func (f *FailureThrottle) Ended(e lavenderridge.EntryID, o bool, t time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.entries[e]
	if r == nil {
		if o {
			return
		}
		r = &results{time: t}
		f.entries[e] = r
	}
	r.fade(t)
	if o {
		r.good++
	} else {
		r.bad++
	}
}

// fade lets the weights decay until t.
func (r *results) fade(t time.Time) {
	d := t.Sub(r.time)
	if d <= 0 {
		return
	}
	k := math.Exp(-float64(d) / float64(failureMemoryTime))
	r.good, r.bad, r.time = r.good*k, r.bad*k, t
}
