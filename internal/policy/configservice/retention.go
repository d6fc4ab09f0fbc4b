package configservice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// departureMemory is how long it is remembered that an instance left. The source
	// comes back from a copy that is some seconds old, but a reader that was cut off for
	// longer may keep lapsed instances that left meanwhile.
	departureMemory = 5 * time.Minute
	// departureGrace is how long after the source's return the copy's entries of
	// instances that left are ignored. The platform removes an entry after three
	// heartbeat intervals of silence, 4.5 s by default, and the change then spreads.
	departureGrace = 5500 * time.Millisecond
	// evacuationGrace is how long after the source's return an evacuation that the copy
	// lacks is kept. Nothing says how soon operators write it again.
	evacuationGrace = departureGrace
)

// A retention turns the accepted instance lists into the one that a daemon uses. Both are
// the same until the source comes back from an older copy, which makes the era of the
// list rise. What this daemon has seen in the era before then holds for a while:
//
//   - Instances that the copy lacks are kept for lapseGrace, and evacuations for
//     evacuationGrace, until they are written again.
//   - Instances that left or were replaced stay so for departureGrace, unless an entry
//     is written in the new era.
//
// Within an era, an instance that left isn't taken back from a list that contains lapsed
// instances, unless its entry was written later or another one at its address had hidden it.
//
// Each daemon decides by what it has seen itself, so that the documents that daemons
// exchange contain nothing but facts of the source. It is not safe for concurrent use.
type retention struct {
	list *lavenderridge.InstanceList // the accepted one
	used *lavenderridge.InstanceList
	// version is that of the accepted list.
	version lavenderridge.Version

	departed  map[run]departure
	kept      map[run]keptInstance
	evacuated map[lavenderridge.DataCentreID]time.Time
}

// run identifies one run of a backend server at its address.
type run struct {
	instance lavenderridge.InstanceID
	backend  lavenderridge.BackendID
}

// departure describes a run that left or began to leave.
type departure struct {
	at      time.Time
	leaving bool // its entry said so and was still listed
	// replaced is true if another run was listed at its address. Its own entry may
	// still be there, unchanged, and is listed again if the other one isn't any more.
	replaced bool
	// revision is that of the source when the departure was seen, and entry that of
	// the run's entry in the first list of the present era, or zero.
	revision, entry lavenderridge.Revision
	// ignoredUntil is how long an entry from the copy is ignored. It is zero until the
	// source has come back.
	ignoredUntil time.Time
}

// keptInstance is an instance that the copy lacks.
type keptInstance struct {
	instance lavenderridge.Instance
	until    time.Time
}

func newRetention() *retention {
	return &retention{
		departed: make(map[run]departure), kept: make(map[run]keptInstance),
		evacuated: make(map[lavenderridge.DataCentreID]time.Time),
	}
}

func runOf(n *lavenderridge.Instance) run {
	return run{instance: n.ID, backend: n.Backend}
}

// accept returns the list to use when the list l with the version v has been accepted at
// the time t.
func (r *retention) accept(l *lavenderridge.InstanceList, v lavenderridge.Version, t time.Time) *lavenderridge.InstanceList {
	m := indexRuns(l)
	maps.DeleteFunc(r.departed, func(_ run, d departure) bool {
		return t.After(d.ignoredUntil) && t.Sub(d.at) > departureMemory
	})
	switch {
	case r.list == nil:
	case ListEra(v) > ListEra(r.version):
		r.sourceReturned(l, m, t)
	default:
		r.forget(m, isExact(v))
		r.compare(m, listRevision(v), t)
	}
	r.recordLeaving(l, listRevision(v), t)
	r.list, r.version = l, v
	r.release(m)
	for _, d := range l.Evacuated {
		delete(r.evacuated, d)
	}
	return r.build(t)
}

func indexRuns(l *lavenderridge.InstanceList) map[run]*lavenderridge.Instance {
	m := make(map[run]*lavenderridge.Instance, len(l.Instances))
	for i := range l.Instances {
		m[runOf(&l.Instances[i])] = &l.Instances[i]
	}
	return m
}

// sourceReturned begins to hold what was used before, where the list l of a new era with
// the runs m lacks it.
func (r *retention) sourceReturned(l *lavenderridge.InstanceList, m map[run]*lavenderridge.Instance, t time.Time) {
	b := make(map[lavenderridge.BackendName]*lavenderridge.Instance, len(m))
	for k, n := range m {
		b[k.backend.Name()] = n
	}
	for i := range r.used.Instances {
		n := &r.used.Instances[i]
		if m[runOf(n)] == nil {
			r.kept[runOf(n)] = keptInstance{instance: *n, until: t.Add(lapseGrace)}
		}
		if o := b[n.Backend.Name()]; o != nil && o.Backend.Precedes(n.Backend) {
			r.departed[runOf(o)] = departure{at: t, revision: o.Revision}
		}
	}
	for _, d := range r.used.Evacuated {
		if !slices.Contains(l.Evacuated, d) {
			r.evacuated[d] = t.Add(evacuationGrace)
		}
	}
	for k, d := range r.departed {
		d.ignoredUntil, d.entry = t.Add(departureGrace), 0
		if n := m[k]; n != nil {
			d.entry = n.Revision
		}
		r.departed[k] = d
	}
}

// forget drops departures that a later word of the source contradicts: an entry among m
// that was written after the departure, or any one in an exact list of the same era. Other
// lists contain lapsed instances of their reader, and of replaced runs entries that were there
// all the while. The flag x tells that the list is exact.
func (r *retention) forget(m map[run]*lavenderridge.Instance, x bool) {
	for k, d := range r.departed {
		n := m[k]
		if n == nil || n.State != lavenderridge.InstanceLive {
			continue
		}
		o := x || d.replaced // the source's later word
		if !d.ignoredUntil.IsZero() {
			o = n.Revision != d.entry
		}
		if o || n.Revision > d.revision {
			delete(r.departed, k)
		}
	}
}

// hides reports whether the entry n of the accepted list contradicts a departure.
func (r *retention) hides(n *lavenderridge.Instance) bool {
	_, o := r.departed[runOf(n)]
	return o && n.State == lavenderridge.InstanceLive
}

// compare records the runs that left between the accepted list and the next one, with the
// runs m and the revision v.
func (r *retention) compare(m map[run]*lavenderridge.Instance, v lavenderridge.Revision, t time.Time) {
	a := make(map[lavenderridge.InstanceID]bool, len(m))
	for k := range m {
		a[k.instance] = true
	}
	for i := range r.list.Instances {
		if k := runOf(&r.list.Instances[i]); m[k] == nil {
			r.departed[k] = departure{at: t, revision: v, replaced: a[k.instance]}
		}
	}
}

// recordLeaving records the runs that are leaving by the list l of the revision v.
func (r *retention) recordLeaving(l *lavenderridge.InstanceList, v lavenderridge.Revision, t time.Time) {
	for i := range l.Instances {
		n := &l.Instances[i]
		if n.State == lavenderridge.InstanceLeaving && !r.departed[runOf(n)].leaving {
			r.departed[runOf(n)] = departure{at: t, leaving: true, revision: v}
		}
	}
}

// release ends the holds that entries of the accepted list with the runs m replace.
func (r *retention) release(m map[run]*lavenderridge.Instance) {
	if len(r.kept) == 0 {
		return
	}
	a := make(map[lavenderridge.InstanceID]bool, len(m))
	b := make(map[lavenderridge.BackendName]bool, len(m))
	for k := range m {
		if _, o := r.departed[k]; !o {
			a[k.instance], b[k.backend.Name()] = true, k.backend != ""
		}
	}
	maps.DeleteFunc(r.kept, func(k run, _ keptInstance) bool {
		return m[k] != nil || a[k.instance] || b[k.backend.Name()]
	})
}

// until returns when the list to use next changes without a new one. It reports false if
// nothing is held.
func (r *retention) until() (time.Time, bool) {
	var t time.Time
	for _, k := range r.kept {
		t = earlier(t, k.until)
	}
	for _, u := range r.evacuated {
		t = earlier(t, u)
	}
	for _, d := range r.departed {
		t = earlier(t, d.ignoredUntil)
	}
	return t, !t.IsZero()
}

// earlier returns the earlier of two times that are not zero.
func earlier(t, u time.Time) time.Time {
	if t.IsZero() || !u.IsZero() && u.Before(t) {
		return u
	}
	return t
}

// build returns the list to use at the time t, without the holds that have ended. An
// instance that was kept and not written again in time has left.
func (r *retention) build(t time.Time) *lavenderridge.InstanceList {
	maps.DeleteFunc(r.kept, func(n run, k keptInstance) bool {
		if t.Before(k.until) {
			return false
		}
		r.departed[n] = departure{at: t, revision: listRevision(r.version)}
		return true
	})
	maps.DeleteFunc(r.evacuated, func(_ lavenderridge.DataCentreID, u time.Time) bool { return !t.Before(u) })
	maps.DeleteFunc(r.departed, func(_ run, d departure) bool { return !d.ignoredUntil.IsZero() && !t.Before(d.ignoredUntil) })
	r.used = r.list
	o := len(r.kept) > 0 || len(r.evacuated) > 0
	for i := 0; i < len(r.list.Instances) && !o; i++ {
		o = r.hides(&r.list.Instances[i])
	}
	if o {
		r.used = r.merge()
	}
	return r.used
}

// merge returns the accepted list with what is held.
func (r *retention) merge() *lavenderridge.InstanceList {
	l := &lavenderridge.InstanceList{Evacuated: slices.Clone(r.list.Evacuated)}
	a := make(map[lavenderridge.InstanceID]bool, len(r.kept))
	for k := range r.kept {
		a[k.instance] = true
	}
	for _, n := range r.list.Instances {
		if a[n.ID] {
			continue // an earlier run at the same address
		}
		if r.hides(&n) {
			if !r.departed[runOf(&n)].leaving {
				continue
			}
			n.State = lavenderridge.InstanceLeaving
		}
		l.Instances = append(l.Instances, n)
	}
	for _, k := range r.kept {
		l.Instances = append(l.Instances, k.instance)
	}
	for d := range r.evacuated {
		l.Evacuated = append(l.Evacuated, d)
	}
	slices.SortFunc(l.Instances, func(a, b lavenderridge.Instance) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(l.Evacuated)
	l.Evacuated = slices.Compact(l.Evacuated)
	return l
}
