package backendserver

import (
	"math"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// resultDecayTime is the time constant of the exponential decay of
	// recorded results.
	resultDecayTime = 2 * time.Second
	// minFailures is the decayed number of failures below which no request is
	// refused.
	minFailures = 4.0
	// admittedPerSuccess is how many requests are admitted for each success.
	admittedPerSuccess = 1.4
	// minAdmittedShare is the share of requests that is always admitted, to
	// detect when the backend server has recovered.
	minAdmittedShare = 0.1
)

// A FailureThrottle admits only a share of the requests of an entry while the
// backend server fails many of them, as happens when the downstream calls that
// they depend on are refused. A request that would probably fail is thus
// refused before it takes up a slot.
type FailureThrottle struct {
	random  func() float64
	mutex   sync.Mutex
	entries map[lavenderridge.EntryID]*entryResults
}

// entryResults holds the exponentially decayed counts of the results of an
// entry's requests.
type entryResults struct {
	successes, failures float64
	time                time.Time
}

// NewFailureThrottle returns a throttle without recorded results. The function
// f returns random numbers in [0, 1).
func NewFailureThrottle(f func() float64) *FailureThrottle {
	return &FailureThrottle{random: f, entries: make(map[lavenderridge.EntryID]*entryResults)}
}

// Admit reports whether a request of the entry e may run at the time t.
func (f *FailureThrottle) Admit(e lavenderridge.EntryID, t time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.entries[e]
	if r == nil {
		return true
	}
	r.decay(t)
	if r.failures < minFailures {
		return true
	}
	return f.random() < max(minAdmittedShare, admittedPerSuccess*r.successes/(r.successes+r.failures))
}

// Observe records that a request of the entry e ended at the time t; o is set
// if it succeeded.
func (f *FailureThrottle) Observe(e lavenderridge.EntryID, o bool, t time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.entries[e]
	if r == nil {
		if o {
			return
		}
		r = &entryResults{time: t}
		f.entries[e] = r
	}
	r.decay(t)
	if o {
		r.successes++
	} else {
		r.failures++
	}
}

// decay applies the exponential decay up to the time t.
func (r *entryResults) decay(t time.Time) {
	d := t.Sub(r.time)
	if d <= 0 {
		return
	}
	k := math.Exp(-float64(d) / float64(resultDecayTime))
	r.successes, r.failures, r.time = r.successes*k, r.failures*k, t
}
