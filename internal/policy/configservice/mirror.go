package configservice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// lapseGrace is how long an instance that vanished around an outage of the
	// source is kept after the source's return: a live backend server is listed
	// again within about two seconds, by the platform's contract.
	lapseGrace = 2200 * time.Millisecond
	// versionsPerRevision leaves a version below that of a revision's exact
	// list for one that still keeps lapsed instances.
	versionsPerRevision = 2
)

// A Mirror holds the facts that one daemon has read from a FactSource and makes
// the two documents of them. It is not safe for concurrent use.
type Mirror struct {
	facts map[lavenderridge.FactKey]lavenderridge.Fact
	asOf  lavenderridge.Revision
	// changed is the revision of the last known change of the instance list.
	changed lavenderridge.Revision
	// lapsed holds instances that vanished around an outage, until keepUntil.
	lapsed    map[lavenderridge.FactKey]lavenderridge.Fact
	keepUntil time.Time
	failed    bool
}

// NewMirror returns a mirror of a source that has not been read yet.
func NewMirror() *Mirror {
	return &Mirror{
		facts:  make(map[lavenderridge.FactKey]lavenderridge.Fact),
		lapsed: make(map[lavenderridge.FactKey]lavenderridge.Fact),
	}
}

// AsOf returns the revision up to which the source is known, or zero before the
// first listing.
func (m *Mirror) AsOf() lavenderridge.Revision {
	return m.asOf
}

// SourceFailed takes in that a call to the source failed. Instances that vanish
// from now until shortly after its return may be alive.
func (m *Mirror) SourceFailed() {
	m.failed = true
}

// Listed takes in a whole listing that ended at the time t. Each page includes
// the revision r, and may include later ones.
func (m *Mirror) Listed(a []lavenderridge.Fact, r lavenderridge.Revision, t time.Time) {
	m.returned(t)
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
	m.asOf, m.changed = r, max(m.changed, r)
}

// Changed takes in the changes that a watch returned at the time t.
func (m *Mirror) Changed(p *lavenderridge.FactPage, t time.Time) {
	m.returned(t)
	for _, f := range p.Facts {
		if f.Deleted {
			o := m.facts[f.Key]
			m.remove(f.Key, t)
			f.Catalogue = o.Catalogue
		} else {
			m.put(f)
		}
		if f.Catalogue == nil {
			m.changed = max(m.changed, f.Revision)
		}
	}
	m.asOf = max(m.asOf, p.AsOf)
}

// returned begins the time in which lapsed instances are kept when the source
// answers again.
func (m *Mirror) returned(t time.Time) {
	if m.failed {
		m.failed, m.keepUntil = false, t.Add(lapseGrace)
	}
}

func (m *Mirror) put(f lavenderridge.Fact) {
	if o, k := m.facts[f.Key]; k && o.Revision > f.Revision {
		return
	}
	delete(m.lapsed, f.Key)
	m.facts[f.Key] = f
}

func (m *Mirror) remove(k lavenderridge.FactKey, t time.Time) {
	f, o := m.facts[k]
	if !o {
		return
	}
	delete(m.facts, k)
	if f.Instance != nil && t.Before(m.keepUntil) {
		m.lapsed[k] = f
	}
}

// Due returns when the lapsed instances are to be dropped. It reports false
// when there are none.
func (m *Mirror) Due() (time.Time, bool) {
	return m.keepUntil, len(m.lapsed) > 0
}

// Catalogue returns the catalogue, or nil when the source has none that can be
// read.
func (m *Mirror) Catalogue() *lavenderridge.PublishedCatalogue {
	for _, f := range m.facts {
		if f.Catalogue != nil {
			return f.Catalogue
		}
	}
	return nil
}

// InstanceList returns the instance list at the time t and its version. Of two
// entries for one instance the one that was created last holds.
func (m *Mirror) InstanceList(t time.Time) (*lavenderridge.InstanceList, lavenderridge.Version) {
	if !t.Before(m.keepUntil) {
		clear(m.lapsed)
	}
	b := make(map[lavenderridge.InstanceID]*lavenderridge.Fact)
	l := &lavenderridge.InstanceList{}
	for _, f := range m.facts {
		if f.Evacuated != "" {
			l.Evacuated = append(l.Evacuated, f.Evacuated)
		}
		newest(b, f)
	}
	for _, f := range m.lapsed {
		newest(b, f)
	}
	for _, d := range slices.Sorted(maps.Keys(b)) {
		l.Instances = append(l.Instances, *b[d].Instance)
	}
	slices.Sort(l.Evacuated)
	v := lavenderridge.Version(m.changed) * versionsPerRevision
	if len(m.lapsed) > 0 {
		v--
	}
	return l, v
}

// newest keeps f in b unless an entry of the same instance was created later.
func newest(b map[lavenderridge.InstanceID]*lavenderridge.Fact, f lavenderridge.Fact) {
	if f.Instance == nil {
		return
	}
	o := b[f.Instance.ID]
	if o == nil || cmp.Or(cmp.Compare(f.Created, o.Created), cmp.Compare(f.Key, o.Key)) > 0 {
		b[f.Instance.ID] = &f
	}
}
