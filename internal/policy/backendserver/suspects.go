package backendserver

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// suspectLifetime is how long a record is kept after the last event.
	suspectLifetime = 10 * time.Minute
	// quarantineTime is how long a request is refused after it crashed a
	// backend server while it ran exclusively. After that it may run
	// exclusively again.
	quarantineTime = 2 * time.Minute
	// sameEventTolerance is the difference in expiry below which two records
	// are of the same event. It exceeds the transit time of a message.
	// Otherwise a record that is passed around between daemons would extend
	// its own lifetime.
	sameEventTolerance = 2 * time.Second
	// maxSuspects bounds the records that are kept, and maxReported those that
	// Suspects returns for sending.
	maxSuspects = 1024
	maxReported = 32
)

// Suspects holds the requests that are suspected of crashing backend servers.
// A request becomes a suspect if it is in flight at a crash, is quarantined if
// it crashes a backend server while it runs exclusively, and is cleared if it
// succeeds. Readers load an immutable map, which writers replace.
type Suspects struct {
	records atomic.Pointer[suspectMap]
}

type suspectMap = map[lavenderridge.Fingerprint]suspectRecord

type suspectRecord struct {
	service lavenderridge.ServiceID
	state   suspectState
	expires time.Time
}

type suspectState uint8

// Of two records of the same event, the one with the higher state takes
// precedence.
const (
	stateSuspected suspectState = iota
	stateCleared
	stateQuarantined
)

var _ lavenderridge.SuspectStore = (*Suspects)(nil)

// NewSuspects returns an empty store.
func NewSuspects() *Suspects {
	s := &Suspects{}
	s.records.Store(&suspectMap{})
	return s
}

// Disposition returns how the request r may run and, if it is refused, the
// remaining quarantine. It computes the fingerprint of r only if there are any
// records.
func (s *Suspects) Disposition(r *lavenderridge.Request, t time.Time) (Disposition, time.Duration) {
	m := *s.records.Load()
	if len(m) == 0 {
		return DispositionNormal, 0
	}
	v, o := m[lavenderridge.FingerprintOf(r)]
	if !o || v.state == stateCleared || !t.Before(v.expires) {
		return DispositionNormal, 0
	}
	if d := v.expires.Add(quarantineTime - suspectLifetime).Sub(t); v.state == stateQuarantined && d > 0 {
		return DispositionRefused, d
	}
	return DispositionExclusive, 0
}

// Crashed records that the backend server crashed while it ran r; a is set if
// r ran exclusively. In that case it quarantines r and returns true.
func (s *Suspects) Crashed(r *lavenderridge.Request, a bool, t time.Time) bool {
	v := suspectRecord{service: r.Service, expires: t.Add(suspectLifetime)}
	if a {
		v.state = stateQuarantined
	}
	s.put(lavenderridge.FingerprintOf(r), v, t)
	return a
}

// Succeeded records that the backend server responded to r, which clears r. It
// reports whether r was suspected.
func (s *Suspects) Succeeded(r *lavenderridge.Request, t time.Time) bool {
	m := *s.records.Load()
	if len(m) == 0 {
		return false
	}
	f := lavenderridge.FingerprintOf(r)
	v, o := m[f]
	if !o || v.state == stateCleared {
		return false
	}
	s.put(f, suspectRecord{service: r.Service, state: stateCleared, expires: t.Add(suspectLifetime)}, t)
	return true
}

// Suspects implements lavenderridge.SuspectStore. It returns the most recent
// records, at most maxReported, sorted by fingerprint.
func (s *Suspects) Suspects(t time.Time) []lavenderridge.Suspect {
	var a []lavenderridge.Suspect
	for f, v := range *s.records.Load() {
		if d := v.expires.Sub(t); d > 0 {
			a = append(a, lavenderridge.Suspect{
				Fingerprint: f, Service: v.service, Remaining: d,
				Quarantined: v.state == stateQuarantined, Cleared: v.state == stateCleared,
			})
		}
	}
	slices.SortFunc(a, func(a, b lavenderridge.Suspect) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	a = a[:min(len(a), maxReported)]
	slices.SortFunc(a, func(a, b lavenderridge.Suspect) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return a
}

// Merge implements lavenderridge.SuspectStore.
func (s *Suspects) Merge(a []lavenderridge.Suspect, t time.Time) {
	m := *s.records.Load()
	if !slices.ContainsFunc(a, func(v lavenderridge.Suspect) bool { return isNewer(m, v, t) }) {
		return
	}
	s.update(t, func(m suspectMap) {
		for _, v := range a {
			if isNewer(m, v, t) {
				m[v.Fingerprint] = newSuspectRecord(v, t).mergedWith(m[v.Fingerprint])
			}
		}
	})
}

// newSuspectRecord returns the record for v as received at t.
func newSuspectRecord(v lavenderridge.Suspect, t time.Time) suspectRecord {
	n := suspectRecord{service: v.Service, expires: t.Add(min(v.Remaining, suspectLifetime))}
	switch {
	case v.Quarantined:
		n.state = stateQuarantined
	case v.Cleared:
		n.state = stateCleared
	}
	return n
}

// isNewer reports whether v is of a later event than the record in m, or of
// the same event with a higher state.
func isNewer(m suspectMap, v lavenderridge.Suspect, t time.Time) bool {
	o, k := m[v.Fingerprint]
	return !k || newSuspectRecord(v, t).supersedes(o)
}

// supersedes reports whether n is of a later event than o, or of the same
// event with a higher state.
func (n suspectRecord) supersedes(o suspectRecord) bool {
	d := n.expires.Sub(o.expires)
	return d > sameEventTolerance || d > -sameEventTolerance && n.state > o.state
}

// mergedWith returns n as the replacement of o: a further suspicion does not
// lift a quarantine.
func (n suspectRecord) mergedWith(o suspectRecord) suspectRecord {
	if n.state == stateSuspected && o.state == stateQuarantined {
		n.state = stateQuarantined
	}
	return n
}

func (s *Suspects) put(f lavenderridge.Fingerprint, v suspectRecord, t time.Time) {
	s.update(t, func(m suspectMap) { m[f] = v.mergedWith(m[f]) })
}

// update replaces the map by a copy that f has changed, without the expired
// records.
func (s *Suspects) update(t time.Time, f func(m suspectMap)) {
	for {
		o := s.records.Load()
		m := maps.Clone(*o)
		f(m)
		maps.DeleteFunc(m, func(_ lavenderridge.Fingerprint, v suspectRecord) bool { return !t.Before(v.expires) })
		evictExcess(m)
		if s.records.CompareAndSwap(o, &m) {
			return
		}
	}
}

// evictExcess removes records until at most maxSuspects remain: cleared ones
// first, quarantined ones last, and within a state the oldest first.
func evictExcess(m suspectMap) {
	for len(m) > maxSuspects {
		var w lavenderridge.Fingerprint
		var x *suspectRecord
		for f, v := range m {
			if x == nil || v.lessImportant(*x) || !x.lessImportant(v) && f < w {
				w, x = f, &v
			}
		}
		delete(m, w)
	}
}

// lessImportant reports whether n is evicted before o.
func (n suspectRecord) lessImportant(o suspectRecord) bool {
	if r, q := n.importance(), o.importance(); r != q {
		return r < q
	}
	return n.expires.Before(o.expires)
}

// importance returns the priority with which the state of n is kept.
func (n suspectRecord) importance() int {
	switch n.state {
	case stateCleared:
		return 0
	case stateSuspected:
		return 1
	default:
		return 2
	}
}
