package configservice

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Store holds the snapshot in force. Readers reach it through one atomic
// pointer; writers take turns.
type Store struct {
	codec   lavenderridge.Codec
	current atomic.Pointer[lavenderridge.Snapshot]

	mutex     sync.Mutex
	catalogue *lavenderridge.Catalogue
	list      *lavenderridge.InstanceList
	stamps    lavenderridge.Stamps
}

var _ lavenderridge.SnapshotSource = (*Store)(nil)

// NewStore returns a store with nothing in force.
func NewStore(k lavenderridge.Codec) *Store {
	return &Store{codec: k}
}

// Snapshot implements lavenderridge.SnapshotSource.
func (s *Store) Snapshot() *lavenderridge.Snapshot {
	return s.current.Load()
}

// OfferCatalogue decides on version v of the catalogue, seen at the time t.
// The error is Findings when the verdict is VerdictRejected.
func (s *Store) OfferCatalogue(v lavenderridge.Version, c *lavenderridge.Catalogue, t time.Time) (Verdict, error) {
	b, e := s.codec.EncodeCatalogue(c)
	if e != nil {
		return VerdictRejected, fmt.Errorf("configservice: %w", e)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := lavenderridge.Stamp{Version: v, Digest: sha256.Sum256(b)}
	if d := compare(s.stamps.Catalogue, p); d != VerdictAccepted {
		return d, nil
	}
	if f := ValidateCatalogue(c); len(f) > 0 {
		return VerdictRejected, f
	}
	s.catalogue, s.stamps.Catalogue = c, p
	s.publish(t)
	return VerdictAccepted, nil
}

// OfferInstanceList decides on version v of the instance list.
func (s *Store) OfferInstanceList(v lavenderridge.Version, l *lavenderridge.InstanceList, t time.Time) (Verdict, error) {
	b, e := s.codec.EncodeInstanceList(l)
	if e != nil {
		return VerdictRejected, fmt.Errorf("configservice: %w", e)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := lavenderridge.Stamp{Version: v, Digest: sha256.Sum256(b)}
	if d := compare(s.stamps.InstanceList, p); d != VerdictAccepted {
		return d, nil
	}
	s.list, s.stamps.InstanceList = l, p
	s.publish(t)
	return VerdictAccepted, nil
}

func compare(a, b lavenderridge.Stamp) Verdict {
	switch {
	case b.Version < a.Version:
		return VerdictOlder
	case b.Version > a.Version:
		return VerdictAccepted
	case a.Digest != b.Digest:
		return VerdictConflict
	default:
		return VerdictSame
	}
}

func (s *Store) publish(t time.Time) {
	if s.catalogue == nil || s.list == nil {
		return
	}
	s.current.Store(lavenderridge.NewSnapshot(s.catalogue, s.list, s.stamps, t))
}
