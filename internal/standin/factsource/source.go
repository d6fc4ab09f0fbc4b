package factsource

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// ErrDown is the error of calls while the source is down.
var ErrDown = errors.New("factsource: the source is down")

// pageSize is small, so that listings have several pages.
const pageSize = 3

// A Source is a store of facts in memory, which tests change and disturb.
type Source struct {
	mutex    sync.Mutex
	revision lavenderridge.Revision
	facts    map[lavenderridge.FactKey]lavenderridge.Fact
	history  []lavenderridge.Fact
	dropped  lavenderridge.Revision
	changed  chan struct{}
	down     bool
	silent   bool
	calls    int
}

var _ lavenderridge.FactSource = (*Source)(nil)

// NewSource returns an empty source.
func NewSource() *Source {
	return &Source{facts: make(map[lavenderridge.FactKey]lavenderridge.Fact), changed: make(chan struct{})}
}

// Put stores the fact f under its key and returns the revision.
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

// Delete removes the fact k and returns the revision.
func (s *Source) Delete(k lavenderridge.FactKey) lavenderridge.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	delete(s.facts, k)
	s.publish(lavenderridge.Fact{Key: k, Revision: s.revision, Deleted: true})
	return s.revision
}

func (s *Source) publish(f lavenderridge.Fact) {
	s.history = append(s.history, f)
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory forgets all changes so far and cuts the watches that wait.
func (s *Source) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.dropped = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown makes calls fail, or succeed again.
func (s *Source) SetDown(o bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = o
}

// SetSilent makes waiting watches miss all changes, as behind a connection that
// has gone silent.
func (s *Source) SetSilent(o bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = o
}

// Calls returns the number of calls so far.
func (s *Source) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// List implements lavenderridge.FactSource.
func (s *Source) List(_ context.Context, k lavenderridge.FactKey) (*lavenderridge.FactPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down {
		return nil, ErrDown
	}
	p := &lavenderridge.FactPage{AsOf: s.revision}
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
	s.calls++
	s.mutex.Unlock()
	t := time.NewTimer(w)
	defer t.Stop()
	for {
		p, f, e := s.after(r)
		if e != nil || len(p.Facts) > 0 {
			return p, e
		}
		select {
		case <-f:
		case <-t.C:
			p, _, e = s.after(r)
			return p, e
		case <-c.Done():
			return nil, c.Err()
		}
	}
}

// after returns the changes after r, and a channel that is closed at the next
// one.
func (s *Source) after(r lavenderridge.Revision) (*lavenderridge.FactPage, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := &lavenderridge.FactPage{AsOf: s.revision}
	switch {
	case s.down:
		return nil, nil, ErrDown
	case s.silent:
		p.AsOf = r
		return p, s.changed, nil
	case r < s.dropped:
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
