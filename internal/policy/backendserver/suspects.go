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
	// suspectLifetime is how long a record lasts after its last event.
	suspectLifetime = 10 * time.Minute
	// quarantineTime is how long a request is refused after it crashed a
	// backend server while alone. Then it may run alone again.
	quarantineTime = 2 * time.Minute
	// mergeSlack is the difference in expiry below which two records are of
	// the same event. It exceeds the time that a message takes, so that records
	// passed around do not renew themselves.
	mergeSlack = 2 * time.Second
	// maxSuspects bounds the records kept, and maxSent those sent.
	maxSuspects = 1024
	maxSent     = 32
)

// Suspects holds the requests that are suspected of crashing backend servers.
// A request becomes a suspect when it is in flight at a crash, is quarantined
// when it crashes a backend server while alone there, and is cleared when it
// succeeds. Readers load an immutable map; writers replace it.
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

// Of two records of the same event the higher state holds.
const (
	stateSuspected suspectState = iota
	stateCleared
	stateQuarantined
)

var _ lavenderridge.SuspectStore = (*Suspects)(nil)

// NewSuspects returns a store with no suspect in it.
func NewSuspects() *Suspects {
	s := &Suspects{}
	s.records.Store(&suspectMap{})
	return s
}

// Judge returns how the request r may run, and for a refused one the time
// after which it may run again. It hashes r only when there is any record.
func (s *Suspects) Judge(r *lavenderridge.Request, t time.Time) (Verdict, time.Duration) {
	m := *s.records.Load()
	if len(m) == 0 {
		return RunsFreely, 0
	}
	v, o := m[lavenderridge.FingerprintOf(r)]
	if !o || v.state == stateCleared || !t.Before(v.expires) {
		return RunsFreely, 0
	}
	if d := v.expires.Add(quarantineTime - suspectLifetime).Sub(t); v.state == stateQuarantined && d > 0 {
		return Refused, d
	}
	return RunsAlone, 0
}

// Crashed tells that the backend server crashed while it ran r, alone when a
// is set. It reports whether r is now quarantined.
func (s *Suspects) Crashed(r *lavenderridge.Request, a bool, t time.Time) bool {
	v := suspectRecord{service: r.Service, expires: t.Add(suspectLifetime)}
	if a {
		v.state = stateQuarantined
	}
	s.put(lavenderridge.FingerprintOf(r), v, t)
	return a
}

// Succeeded tells that the backend server answered r, which clears it. It
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

// Suspects implements lavenderridge.SuspectStore. It returns the records of
// the latest events, in the order of their fingerprints.
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
	a = a[:min(len(a), maxSent)]
	slices.SortFunc(a, func(a, b lavenderridge.Suspect) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return a
}

// Merge implements lavenderridge.SuspectStore.
func (s *Suspects) Merge(a []lavenderridge.Suspect, t time.Time) {
	m := *s.records.Load()
	if !slices.ContainsFunc(a, func(v lavenderridge.Suspect) bool { return isNews(m, v, t) }) {
		return
	}
	s.update(t, func(m suspectMap) {
		for _, v := range a {
			if isNews(m, v, t) {
				m[v.Fingerprint] = newSuspectRecord(v, t).after(m[v.Fingerprint])
			}
		}
	})
}

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

// isNews reports whether v tells of a later event than the record in m or, of
// the same event, of a higher state.
func isNews(m suspectMap, v lavenderridge.Suspect, t time.Time) bool {
	o, k := m[v.Fingerprint]
	return !k || newSuspectRecord(v, t).follows(o)
}

func (n suspectRecord) follows(o suspectRecord) bool {
	d := n.expires.Sub(o.expires)
	return d > mergeSlack || d > -mergeSlack && n.state > o.state
}

// after returns n as it holds after o: a further suspicion does not lift a
// quarantine.
func (n suspectRecord) after(o suspectRecord) suspectRecord {
	if n.state == stateSuspected && o.state == stateQuarantined {
		n.state = stateQuarantined
	}
	return n
}

func (s *Suspects) put(f lavenderridge.Fingerprint, v suspectRecord, t time.Time) {
	s.update(t, func(m suspectMap) { m[f] = v.after(m[f]) })
}

// update replaces the map by a copy that f changed, without what has expired.
func (s *Suspects) update(t time.Time, f func(m suspectMap)) {
	for {
		o := s.records.Load()
		m := maps.Clone(*o)
		f(m)
		maps.DeleteFunc(m, func(_ lavenderridge.Fingerprint, v suspectRecord) bool { return !t.Before(v.expires) })
		bound(m)
		if s.records.CompareAndSwap(o, &m) {
			return
		}
	}
}

// bound drops the records that matter least: cleared ones first, quarantined
// ones last, and of those the oldest first.
func bound(m suspectMap) {
	for len(m) > maxSuspects {
		var w lavenderridge.Fingerprint
		var x *suspectRecord
		for f, v := range m {
			if x == nil || v.lesser(*x) || !x.lesser(v) && f < w {
				w, x = f, &v
			}
		}
		delete(m, w)
	}
}

func (n suspectRecord) lesser(o suspectRecord) bool {
	if r, q := n.rank(), o.rank(); r != q {
		return r < q
	}
	return n.expires.Before(o.expires)
}

// rank orders the states by how much it matters to keep them.
func (n suspectRecord) rank() int {
	switch n.state {
	case stateCleared:
		return 0
	case stateSuspected:
		return 1
	default:
		return 2
	}
}
