package configservice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// lapseGrace is how long after an outage of the source instances that
	// disappeared from it are kept. By the platform's contract a live backend
	// server is listed again within about two seconds.
	lapseGrace = 2200 * time.Millisecond
	// versionsPerRevision is the number of list versions for each revision. The
	// exact list of the revision r has the version 2r; the list that still
	// contains lapsed instances has the version 2r-1.
	versionsPerRevision = 2
)

// A Mirror is a copy of the facts in a FactSource, from which it builds the
// catalogue and the instance list. It is not safe for concurrent use.
type Mirror struct {
	facts map[lavenderridge.FactKey]lavenderridge.Fact
	asOf  lavenderridge.Revision
	// listRevision is the revision of the latest change to the instance list.
	listRevision lavenderridge.Revision
	// lapsed holds the instances that disappeared from the source during an
	// outage or shortly afterwards. They are dropped at lapsedUntil.
	lapsed      map[lavenderridge.FactKey]lavenderridge.Fact
	lapsedUntil time.Time
	sourceDown  bool
}

// NewMirror returns an empty mirror, whose source has not been read yet.
func NewMirror() *Mirror {
	return &Mirror{
		facts:  make(map[lavenderridge.FactKey]lavenderridge.Fact),
		lapsed: make(map[lavenderridge.FactKey]lavenderridge.Fact),
	}
}

// AsOf returns the revision up to which the mirror includes all changes, or zero
// before the first listing.
func (m *Mirror) AsOf() lavenderridge.Revision {
	return m.asOf
}

// SourceFailed records that a call to the source failed. Instances that
// disappear from the source until lapseGrace after its next response may still
// be alive, so the mirror keeps them as lapsed.
func (m *Mirror) SourceFailed() {
	m.sourceDown = true
}

// ApplyListing replaces all facts by those of a complete listing that ended at
// the time t. Every page includes the changes up to the revision r, and those with
// facts of the instance list include the changes up to the revision l.
func (m *Mirror) ApplyListing(a []lavenderridge.Fact, r, l lavenderridge.Revision, t time.Time) {
	m.sourceResponded(t)
	k := make(map[lavenderridge.FactKey]bool, len(a))
	for _, f := range a {
		k[f.Key] = true
	}
	for d := range m.facts {
		if !k[d] {
			m.remove(d, t)
		}
	}
	for _, f := range a {
		m.put(f)
	}
	m.asOf, m.listRevision = r, max(m.listRevision, l)
}

// ApplyChanges applies the changes that a watch returned at the time t. Changes that
// the mirror already includes have no effect.
func (m *Mirror) ApplyChanges(p *lavenderridge.FactPage, t time.Time) {
	m.sourceResponded(t)
	for _, f := range p.Facts {
		if f.Deleted {
			o := m.facts[f.Key]
			if o.Revision > f.Revision {
				continue
			}
			m.remove(f.Key, t)
			f.Catalogue = o.Catalogue
		} else {
			m.put(f)
		}
		if f.Catalogue == nil {
			m.listRevision = max(m.listRevision, f.Revision)
		}
	}
	m.asOf = max(m.asOf, p.AsOf)
}

// sourceResponded ends an outage: lapsed instances are kept for lapseGrace from
// the time t on.
func (m *Mirror) sourceResponded(t time.Time) {
	if m.sourceDown {
		m.sourceDown, m.lapsedUntil = false, t.Add(lapseGrace)
	}
}

// put stores the fact f unless a later revision of it is stored already.
func (m *Mirror) put(f lavenderridge.Fact) {
	if o, k := m.facts[f.Key]; k && o.Revision > f.Revision {
		return
	}
	delete(m.lapsed, f.Key)
	m.facts[f.Key] = f
}

// remove deletes the fact with the key k. An instance that disappears during or
// shortly after an outage is kept as lapsed.
func (m *Mirror) remove(k lavenderridge.FactKey, t time.Time) {
	f, o := m.facts[k]
	if !o {
		return
	}
	delete(m.facts, k)
	if f.Instance != nil && t.Before(m.lapsedUntil) {
		m.lapsed[k] = f
	}
}

// LapsedUntil returns the time at which the lapsed instances are dropped. It
// reports false if there are none.
func (m *Mirror) LapsedUntil() (time.Time, bool) {
	return m.lapsedUntil, len(m.lapsed) > 0
}

// Catalogue returns the catalogue, or nil if the source has none or its fact
// cannot be parsed.
func (m *Mirror) Catalogue() *lavenderridge.PublishedCatalogue {
	for _, f := range m.facts {
		if f.Catalogue != nil {
			return f.Catalogue
		}
	}
	return nil
}

// InstanceList returns the instance list at the time t and its version. If two
// facts describe the same instance, the one created last is used.
func (m *Mirror) InstanceList(t time.Time) (*lavenderridge.InstanceList, lavenderridge.Version) {
	if !t.Before(m.lapsedUntil) {
		clear(m.lapsed)
	}
	b := make(map[lavenderridge.InstanceID]*lavenderridge.Fact)
	l := &lavenderridge.InstanceList{}
	for _, f := range m.facts {
		if f.Evacuated != "" {
			l.Evacuated = append(l.Evacuated, f.Evacuated)
		}
		keepNewest(b, f)
	}
	for _, f := range m.lapsed {
		keepNewest(b, f)
	}
	for _, d := range slices.Sorted(maps.Keys(b)) {
		l.Instances = append(l.Instances, *b[d].Instance)
	}
	slices.Sort(l.Evacuated)
	v := lavenderridge.Version(m.listRevision) * versionsPerRevision
	if len(m.lapsed) > 0 {
		v--
	}
	return l, v
}

// keepNewest stores the instance fact f in b unless b has a fact of the same
// instance that was created later.
func keepNewest(b map[lavenderridge.InstanceID]*lavenderridge.Fact, f lavenderridge.Fact) {
	if f.Instance == nil {
		return
	}
	o := b[f.Instance.ID]
	if o == nil || cmp.Or(cmp.Compare(f.Created, o.Created), cmp.Compare(f.Key, o.Key)) > 0 {
		b[f.Instance.ID] = &f
	}
}
