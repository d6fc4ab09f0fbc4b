package lavenderridge

import (
	"slices"
	"strings"
	"time"
)

// A Snapshot is one accepted catalogue together with one accepted instance
// list, indexed for routing. It is immutable; a request uses the same snapshot
// throughout.
type Snapshot struct {
	Catalogue  *Catalogue
	List       *InstanceList
	Stamps     Stamps
	AcceptedAt time.Time
	// accepted is the snapshot of the accepted instance list if List is another one.
	accepted *Snapshot

	entries     map[string][]*Entry // by host, longest prefix first; "": for all hosts
	entriesByID map[EntryID]*Entry
	services    map[ServiceID]*Service
	dataCentres map[DataCentreID]*DataCentre
	overrides   map[InstanceID]ServiceState
	instances   map[InstanceID]*Instance
	byService   map[ServiceID][]*Instance
	evacuated   map[DataCentreID]bool
	customers   map[CustomerID]*Customer
	byKey       map[CustomerKey]*Customer
}

// NewSnapshot returns the snapshot of a catalogue and an instance list that
// have both been accepted. Neither may be changed afterwards.
func NewSnapshot(c *Catalogue, l *InstanceList, s Stamps, t time.Time) *Snapshot {
	n := &Snapshot{
		Catalogue: c, List: l, Stamps: s, AcceptedAt: t,
		entries:     make(map[string][]*Entry),
		entriesByID: make(map[EntryID]*Entry, len(c.Entries)),
		evacuated:   make(map[DataCentreID]bool, len(l.Evacuated)),
		services:    make(map[ServiceID]*Service, len(c.Services)),
		dataCentres: make(map[DataCentreID]*DataCentre, len(c.DataCentres)),
		overrides:   make(map[InstanceID]ServiceState, len(c.Instances)),
		instances:   make(map[InstanceID]*Instance, len(l.Instances)),
		byService:   make(map[ServiceID][]*Instance, len(c.Services)),
		customers:   make(map[CustomerID]*Customer, len(c.Customers)),
		byKey:       make(map[CustomerKey]*Customer, len(c.Customers)),
	}
	n.indexCatalogue()
	n.indexCustomers()
	n.indexInstances()
	return n
}

// WithInstanceList returns the snapshot of the catalogue of s and the instance list l
// that was accepted at t. It shares the index of the catalogue with s.
func (s *Snapshot) WithInstanceList(l *InstanceList, p Stamps, t time.Time) *Snapshot {
	n := *s
	n.List, n.Stamps, n.AcceptedAt, n.accepted = l, p, t, nil
	n.evacuated = make(map[DataCentreID]bool, len(l.Evacuated))
	n.instances = make(map[InstanceID]*Instance, len(l.Instances))
	n.byService = make(map[ServiceID][]*Instance, len(s.services))
	n.indexInstances()
	return &n
}

// WithUsedList returns the snapshot of the list l, which this daemon uses in place of the
// accepted one, that of s.
func (s *Snapshot) WithUsedList(l *InstanceList) *Snapshot {
	n := s.WithInstanceList(l, s.Stamps, s.AcceptedAt)
	n.accepted = s
	return n
}

// Accepted returns the snapshot of the accepted instance list, which is the same at all
// daemons with its version. What must not differ between daemons is decided from it.
func (s *Snapshot) Accepted() *Snapshot {
	if s.accepted != nil {
		return s.accepted
	}
	return s
}

func (s *Snapshot) indexCatalogue() {
	for i := range s.Catalogue.Services {
		v := &s.Catalogue.Services[i]
		s.services[v.ID] = v
	}
	for i := range s.Catalogue.DataCentres {
		d := &s.Catalogue.DataCentres[i]
		s.dataCentres[d.ID] = d
	}
	for _, o := range s.Catalogue.Instances {
		s.overrides[o.ID] = o.State
	}
	for i := range s.Catalogue.Entries {
		e := &s.Catalogue.Entries[i]
		s.entries[e.Host] = append(s.entries[e.Host], e)
		s.entriesByID[e.ID] = e
	}
	for _, a := range s.entries {
		slices.SortStableFunc(a, func(a, b *Entry) int {
			return len(b.PathPrefix) - len(a.PathPrefix)
		})
	}
}

func (s *Snapshot) indexCustomers() {
	for i := range s.Catalogue.Customers {
		v := &s.Catalogue.Customers[i]
		s.customers[v.ID] = v
		for _, k := range v.Keys {
			s.byKey[k] = v
		}
	}
}

func (s *Snapshot) indexInstances() {
	for _, d := range s.List.Evacuated {
		s.evacuated[d] = true
	}
	for i := range s.List.Instances {
		n := &s.List.Instances[i]
		s.instances[n.ID] = n
		s.byService[n.Service] = append(s.byService[n.Service], n)
	}
}

// Versions returns the versions of the two documents.
func (s *Snapshot) Versions() Versions {
	return s.Stamps.Versions()
}

// Match returns the entry that a request's host, method and path select, or
// nil. If no entry of the host matches, Match uses the entries for all hosts.
func (s *Snapshot) Match(h, m, p string) *Entry {
	if e := match(s.entries[h], m, p); e != nil || h == "" {
		return e
	}
	return match(s.entries[""], m, p)
}

// Entry returns the entry with the ID d, or nil.
func (s *Snapshot) Entry(d EntryID) *Entry {
	return s.entriesByID[d]
}

func match(a []*Entry, m, p string) *Entry {
	for _, e := range a {
		if strings.HasPrefix(p, e.PathPrefix) && (len(e.Methods) == 0 || slices.Contains(e.Methods, m)) {
			return e
		}
	}
	return nil
}

// Service returns the service with the ID d, or nil.
func (s *Snapshot) Service(d ServiceID) *Service {
	return s.services[d]
}

// Customer returns the customer with the ID d, or nil.
func (s *Snapshot) Customer(d CustomerID) *Customer {
	return s.customers[d]
}

// CustomerOf returns the customer that holds the key k, or nil.
func (s *Snapshot) CustomerOf(k CustomerKey) *Customer {
	return s.byKey[k]
}

// DataCentre returns the data centre with the ID d, or nil.
func (s *Snapshot) DataCentre(d DataCentreID) *DataCentre {
	return s.dataCentres[d]
}

// Instance returns the listed instance with the ID d, or nil.
func (s *Snapshot) Instance(d InstanceID) *Instance {
	return s.instances[d]
}

// ServiceOf returns the service of the listed instance with the ID d, or "".
func (s *Snapshot) ServiceOf(d InstanceID) ServiceID {
	if n := s.instances[d]; n != nil {
		return n.Service
	}
	return ""
}

// Instances returns the listed instances of the service d, sorted by ID. The
// caller must not change the slice.
func (s *Snapshot) Instances(d ServiceID) []*Instance {
	return s.byService[d]
}

// Eligible reports whether the instance n may be given new work: the platform
// lists it as live, and the operators have it and its data centre in service.
func (s *Snapshot) Eligible(n *Instance) bool {
	if n == nil || n.State != InstanceLive || s.overrides[n.ID] == OutOfService || s.evacuated[n.DataCentre] {
		return false
	}
	d := s.dataCentres[n.DataCentre]
	return d != nil && d.State == InService
}
