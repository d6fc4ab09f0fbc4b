package factsource

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// ErrDown is returned by calls while the source is down.
var ErrDown = errors.New("factsource: the source is down")

// pageSize is small, so that listings have several pages.
const pageSize = 3

// A Source is an in-memory store of facts into which tests inject faults.
type Source struct {
	mutex        sync.Mutex
	revision     lavenderridge.Revision
	facts        map[lavenderridge.FactKey]lavenderridge.Fact
	history      []lavenderridge.Fact
	historyStart lavenderridge.Revision
	changed      chan struct{}
	down         bool
	halfOpen     bool
	callCount    int
	listCount    int
	era          lavenderridge.Era
	copied       state
}

// state is what a return from an older copy restores.
type state struct {
	revision lavenderridge.Revision
	facts    map[lavenderridge.FactKey]lavenderridge.Fact
	history  []lavenderridge.Fact
}

var _ lavenderridge.FactSource = (*Source)(nil)

// NewSource returns an empty source.
func NewSource() *Source {
	return &Source{facts: make(map[lavenderridge.FactKey]lavenderridge.Fact), changed: make(chan struct{})}
}

// Put stores the fact f under its key and returns the new revision.
func (s *Source) Put(f lavenderridge.Fact) lavenderridge.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	f.Revision, f.Created = s.revision, s.revision
	if o, k := s.facts[f.Key]; k {
		f.Created = o.Created
	}
	if f.Instance != nil {
		n := *f.Instance
		n.Revision = s.revision
		f.Instance = &n
	}
	s.facts[f.Key] = f
	s.publish(f)
	return s.revision
}

// Delete removes the fact with the key k and returns the new revision.
func (s *Source) Delete(k lavenderridge.FactKey) lavenderridge.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	delete(s.facts, k)
	s.publish(lavenderridge.Fact{Key: k, Revision: s.revision, Deleted: true})
	return s.revision
}

// publish adds the change f to the history and wakes the waiting watches.
func (s *Source) publish(f lavenderridge.Fact) {
	s.history = append(s.history, f)
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory removes all changes so far from the history. Watches from an older
// revision fail with lavenderridge.ErrHistoryLost, waiting ones immediately.
func (s *Source) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.historyStart = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetEra sets the era that the source states. Zero, the default, means none.
func (s *Source) SetEra(e lavenderridge.Era) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era = e
}

// Copy makes a copy of the present state, to which Return goes back.
func (s *Source) Copy() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.copied = state{revision: s.revision, facts: maps.Clone(s.facts), history: slices.Clone(s.history)}
}

// Return goes back to the latest copy, in the next era. It ends waiting watches.
func (s *Source) Return() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision, s.facts, s.history = s.copied.revision, maps.Clone(s.copied.facts), slices.Clone(s.copied.history)
	s.historyStart = min(s.historyStart, s.revision)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown sets whether the source is down: calls then fail with ErrDown.
func (s *Source) SetDown(o bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = o
}

// SetHalfOpen sets whether watches receive no changes, as on a half-open connection.
func (s *Source) SetHalfOpen(o bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.halfOpen = o
}

// Calls returns the number of calls so far.
func (s *Source) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.callCount
}

// Lists returns the number of listings that were begun so far.
func (s *Source) Lists() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.listCount
}

// List implements lavenderridge.FactSource.
func (s *Source) List(_ context.Context, k lavenderridge.FactKey) (*lavenderridge.FactPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.callCount++
	if s.down {
		return nil, ErrDown
	}
	if k == "" {
		s.listCount++
	}
	p := &lavenderridge.FactPage{AsOf: s.revision, Era: s.era}
	for _, f := range s.facts {
		if f.Key > k {
			p.Facts = append(p.Facts, f)
		}
	}
	slices.SortFunc(p.Facts, func(a, b lavenderridge.Fact) int { return cmp.Compare(a.Key, b.Key) })
	if len(p.Facts) > pageSize {
		p.Facts, p.More = p.Facts[:pageSize], true
	}
	return p, nil
}

// Watch implements lavenderridge.FactSource.
func (s *Source) Watch(c context.Context, r lavenderridge.Revision, w time.Duration) (*lavenderridge.FactPage, error) {
	s.mutex.Lock()
	s.callCount++
	s.mutex.Unlock()
	t := time.NewTimer(w)
	defer t.Stop()
	for {
		p, f, e := s.changesAfter(r)
		if e != nil || len(p.Facts) > 0 {
			return p, e
		}
		select {
		case <-f:
		case <-t.C:
			p, _, e = s.changesAfter(r)
			return p, e
		case <-c.Done():
			return nil, c.Err()
		}
	}
}

// changesAfter returns the changes after the revision r, and a channel that is
// closed at the next change.
func (s *Source) changesAfter(r lavenderridge.Revision) (*lavenderridge.FactPage, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := &lavenderridge.FactPage{AsOf: s.revision, Era: s.era}
	switch {
	case s.down:
		return nil, nil, ErrDown
	case s.halfOpen:
		p.AsOf = r
		return p, s.changed, nil
	case r < s.historyStart || r > s.revision:
		return nil, nil, lavenderridge.ErrHistoryLost
	}
	for _, f := range s.history {
		if f.Revision > r {
			p.Facts = append(p.Facts, f)
		}
	}
	return p, s.changed, nil
}

// Close implements lavenderridge.FactSource.
func (s *Source) Close() error { return nil }
