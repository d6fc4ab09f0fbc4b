package configservice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/instancelist"
)

// lapseGrace is how long after an outage of the source instances that
// disappeared from it are kept. By the platform's contract a live backend
// server is listed again within about two seconds.
const lapseGrace = 2200 * time.Millisecond

// ReturnGrace is how long after its return from an older copy the source may lack what
// it has acknowledged before and is written again.
const ReturnGrace = lapseGrace

// A Mirror is a copy of the facts in a FactSource, from which it builds the
// catalogue and the instance list. A fact that would make the instance list invalid
// is left out, so that it has no effect on the others. It is not safe for concurrent
// use.
type Mirror struct {
	facts map[lavenderridge.FactKey]lavenderridge.Fact
	asOf  lavenderridge.Revision
	// era is the era of the facts.
	era lavenderridge.Era
	// hasReturned is true if list versions contain the era, because the source has
	// come back from an older copy while it was followed. Before that they don't, so
	// that daemons that know no eras number the same lists alike.
	hasReturned bool
	// listRevision is the revision of the latest change to the instance list.
	listRevision lavenderridge.Revision
	// lapsed holds the instances that disappeared from the source during an
	// outage or shortly afterwards. They are dropped at lapsedUntil.
	lapsed      map[lavenderridge.FactKey]lavenderridge.Fact
	lapsedUntil time.Time
	sourceDown  bool
	// services holds the services of the latest usable catalogue, which has the
	// version servicesVersion.
	services        map[lavenderridge.ServiceID]bool
	servicesVersion lavenderridge.Version
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

// Era returns the era of the facts.
func (m *Mirror) Era() lavenderridge.Era {
	return m.era
}

// IsOlder reports whether a response of the era e is older than the facts, or than the
// instance list with the version v, which has been accepted.
func (m *Mirror) IsOlder(e lavenderridge.Era, v lavenderridge.Version) bool {
	return e < max(m.era, ListEra(v))
}

// IsBehind reports whether the source has an older catalogue than the version v, which
// has been accepted. It has lost that version, so its response does not show that v is
// the newest one.
func (m *Mirror) IsBehind(v lavenderridge.Version) bool {
	p := m.Catalogue()
	return p != nil && p.Version < v
}

// BeginEra prepares for a listing of the era e. If the facts are of another era, it
// drops them, because the source has come back from an older copy, and returns true.
// The daemons keep for a while what the copy lacks (see retention).
func (m *Mirror) BeginEra(e lavenderridge.Era) bool {
	if e == m.era {
		return false
	}
	o := m.asOf > 0
	m.era = e
	if o {
		clear(m.facts)
		clear(m.lapsed)
		m.asOf, m.listRevision = 0, 0
		// Leases of live instances may run out as in an outage.
		m.sourceDown, m.hasReturned = true, true
	}
	return o
}

// CompareList compares the facts with the instance list of the version v, which was
// accepted before the latest call to the source began. If the list contains an era, or
// a revision that the source does not have any more, the source has come back from an
// older copy, and list versions contain the era from now on. Only a listing, if l is true,
// shows the latter: a watch may return a revision that is behind.
func (m *Mirror) CompareList(v lavenderridge.Version, l bool) {
	if ListEra(v) > 0 || l && m.era > 0 && m.asOf < listRevision(v) {
		m.hasReturned = true
	}
}

// HasReturned reports whether the source is known to have come back from an older copy.
func (m *Mirror) HasReturned() bool {
	return m.hasReturned
}

// SourceFailed records that a call to the source failed. Instances that
// disappear from the source until lapseGrace after its next response may still
// be alive, so the mirror keeps them as lapsed.
func (m *Mirror) SourceFailed() {
	m.sourceDown = true
}

// ApplyListing replaces all facts by those of a complete listing that ended at
// the time t. Every page includes the changes up to the revision r, and those with
// facts of the instance list include the changes up to the revision l. It returns
// the facts that cannot be used, with their findings, except for those that were
// returned before.
func (m *Mirror) ApplyListing(a []lavenderridge.Fact, r, l lavenderridge.Revision, t time.Time) []lavenderridge.Fact {
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
	var v []lavenderridge.Fact
	for _, f := range a {
		if _, o := m.put(&f); o {
			v = append(v, f)
		}
	}
	m.asOf, m.listRevision = r, max(m.listRevision, l)
	return v
}

// ApplyChanges applies the changes that a watch returned at the time t. Changes that
// the mirror already includes have no effect. It returns the facts that cannot be
// used, as ApplyListing does.
func (m *Mirror) ApplyChanges(p *lavenderridge.FactPage, t time.Time) []lavenderridge.Fact {
	m.sourceResponded(t)
	var v []lavenderridge.Fact
	for _, f := range p.Facts {
		o, k := m.facts[f.Key]
		if k && o.Revision > f.Revision {
			continue
		}
		n, j := isListed(&o) || !k, false
		if f.Deleted {
			m.remove(f.Key, t)
		} else {
			n, j = m.put(&f)
		}
		if n {
			m.listRevision = max(m.listRevision, f.Revision)
		}
		if j {
			v = append(v, f)
		}
	}
	m.asOf = max(m.asOf, p.AsOf)
	return v
}

// sourceResponded ends an outage: lapsed instances are kept for lapseGrace from
// the time t on.
func (m *Mirror) sourceResponded(t time.Time) {
	if m.sourceDown {
		m.sourceDown, m.lapsedUntil = false, t.Add(lapseGrace)
	}
}

// put validates the fact f and stores it unless a later revision of it is stored
// already. It reports whether f may change the instance list (n), and whether f is a
// revision that cannot be used and was not stored before (j).
func (m *Mirror) put(f *lavenderridge.Fact) (n, j bool) {
	o, k := m.facts[f.Key]
	if k && o.Revision > f.Revision {
		return false, false
	}
	validateFact(f)
	// A revision that is stored already was part of a listing, whose revision may
	// be lower.
	n = isListed(&o) || isListed(f) || k && o.Revision == f.Revision && f.Catalogue == nil
	n = m.useServices(f.Catalogue) || n
	delete(m.lapsed, f.Key)
	m.facts[f.Key] = *f
	return n, len(f.Findings) > 0 && (!k || o.Revision < f.Revision)
}

// validateFact adds the findings about the part of the instance list that f contains
// to f and removes that part if there are any.
func validateFact(f *lavenderridge.Fact) {
	var a lavenderridge.Findings
	if f.Instance != nil {
		a = instancelist.ValidateInstance(f.Instance)
	}
	if f.Evacuated != "" {
		a = append(a, instancelist.ValidateEvacuated(f.Evacuated)...)
	}
	if len(a) > 0 {
		f.Instance, f.Evacuated = nil, ""
		f.Findings = append(f.Findings, a...)
	}
}

// isListed reports whether the instance list contains a part of the fact f.
func isListed(f *lavenderridge.Fact) bool {
	return f.Instance != nil || f.Evacuated != ""
}

// useServices makes the services of the catalogue p, which may be nil, the known
// ones. It reports whether they changed.
func (m *Mirror) useServices(p *lavenderridge.PublishedCatalogue) bool {
	if p == nil || p.Version < m.servicesVersion {
		return false
	}
	m.servicesVersion = p.Version
	s := make(map[lavenderridge.ServiceID]bool, len(p.Catalogue.Services))
	for i := range p.Catalogue.Services {
		s[p.Catalogue.Services[i].ID] = true
	}
	o := m.services
	m.services = s
	return !maps.Equal(o, s)
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
// facts describe the same instance, the one whose service the catalogue contains is
// used, or else the one created last.
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
		m.keepNewest(b, f)
	}
	for _, f := range m.lapsed {
		m.keepNewest(b, f)
	}
	for _, d := range slices.Sorted(maps.Keys(b)) {
		l.Instances = append(l.Instances, *b[d].Instance)
	}
	slices.Sort(l.Evacuated)
	var e lavenderridge.Era
	if m.hasReturned {
		e = m.era
	}
	v := listVersion(e, m.listRevision)
	if len(m.lapsed) > 0 {
		v--
	}
	return l, v
}

// keepNewest stores the instance fact f in b unless b has a fact of the same
// instance that takes precedence: one of a known service over others, then one that
// was created later.
func (m *Mirror) keepNewest(b map[lavenderridge.InstanceID]*lavenderridge.Fact, f lavenderridge.Fact) {
	if f.Instance == nil {
		return
	}
	o := b[f.Instance.ID]
	if o == nil || cmp.Or(m.compareServices(&f, o), cmp.Compare(f.Created, o.Created), cmp.Compare(f.Key, o.Key)) > 0 {
		b[f.Instance.ID] = &f
	}
}

// compareServices returns 1 if only the service of f is known, -1 if only that of o
// is, and otherwise 0.
func (m *Mirror) compareServices(f, o *lavenderridge.Fact) int {
	switch a, b := m.services[f.Instance.Service], m.services[o.Instance.Service]; {
	case a && !b:
		return 1
	case b && !a:
		return -1
	default:
		return 0
	}
}
