package configservice

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/instancelist"
)

// maxRejections bounds the rejected versions that a store remembers.
const maxRejections = 16

// A Store decides which versions come into force and holds the snapshot of
// those that are. Readers reach it through one atomic pointer; writers take
// turns. Versions only move forward.
type Store struct {
	current atomic.Pointer[lavenderridge.Snapshot]

	mutex      sync.Mutex
	catalogue  holder[lavenderridge.Catalogue, lavenderridge.CatalogueDelta]
	list       holder[lavenderridge.InstanceList, lavenderridge.InstanceListDelta]
	rejections []lavenderridge.Rejection
	changed    chan struct{}
}

var _ lavenderridge.SnapshotSource = (*Store)(nil)

// NewStore returns a store with nothing in force.
func NewStore(k lavenderridge.Codec) *Store {
	s := &Store{changed: make(chan struct{})}
	s.catalogue.form = form[lavenderridge.Catalogue, lavenderridge.CatalogueDelta]{
		name: lavenderridge.DocumentCatalogue, encode: k.EncodeCatalogue, decode: k.DecodeCatalogue,
		encodeDelta: k.EncodeCatalogueDelta, decodeDelta: k.DecodeCatalogueDelta,
		diff: DiffCatalogue, patch: PatchCatalogue, validate: ValidateCatalogue,
	}
	s.list.form = form[lavenderridge.InstanceList, lavenderridge.InstanceListDelta]{
		name: lavenderridge.DocumentInstanceList, encode: k.EncodeInstanceList, decode: k.DecodeInstanceList,
		encodeDelta: k.EncodeInstanceListDelta, decodeDelta: k.DecodeInstanceListDelta,
		diff: DiffInstanceList, patch: PatchInstanceList, validate: instancelist.Validate,
	}
	return s
}

// Snapshot implements lavenderridge.SnapshotSource.
func (s *Store) Snapshot() *lavenderridge.Snapshot {
	return s.current.Load()
}

// Changed returns a channel that is closed when the next version comes into
// force.
func (s *Store) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Acceptance returns what is known of the version of d in force.
func (s *Store) Acceptance(d lavenderridge.DocumentName) lavenderridge.Acceptance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if d == lavenderridge.DocumentCatalogue {
		return s.catalogue.acceptance
	}
	return s.list.acceptance
}

// Stamps returns the stamps of both documents, of which the snapshot may lack
// one still.
func (s *Store) Stamps() lavenderridge.Stamps {
	return lavenderridge.Stamps{
		Catalogue:    s.Acceptance(lavenderridge.DocumentCatalogue).Stamp,
		InstanceList: s.Acceptance(lavenderridge.DocumentInstanceList).Stamp,
	}
}

// List returns the instance list in force, or nil before the first. The
// snapshot may lack it while there is no catalogue.
func (s *Store) List() *lavenderridge.InstanceList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.list.value
}

// OfferCatalogue decides on the catalogue c. The error is Findings when the
// verdict is VerdictRejected for faults of c.
func (s *Store) OfferCatalogue(o Offer, c *lavenderridge.Catalogue) (Verdict, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v, e := s.catalogue.offer(o, c, lavenderridge.Digest{})
	return s.settle(lavenderridge.DocumentCatalogue, o, v, e)
}

// OfferInstanceList decides on the instance list l.
func (s *Store) OfferInstanceList(o Offer, l *lavenderridge.InstanceList) (Verdict, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v, e := s.list.offer(o, l, lavenderridge.Digest{})
	return s.settle(lavenderridge.DocumentInstanceList, o, v, e)
}

// OfferReply decides on the document d that a peer sent, whole or as a delta.
// A delta whose result has another digest than the announced one gives an
// error that IsDigestError knows; the whole document is to be fetched then.
func (s *Store) OfferReply(d lavenderridge.DocumentName, g lavenderridge.Origin, p *lavenderridge.PullReply, t time.Time) (Verdict, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o := Offer{Version: p.Stamp.Version, Origin: g, Time: t}
	var v Verdict
	var e error
	if d == lavenderridge.DocumentCatalogue {
		v, e = s.catalogue.offerReply(o, p)
	} else {
		v, e = s.list.offerReply(o, p)
	}
	if p.Delta != nil && IsDigestError(e) {
		return v, e
	}
	return s.settle(d, o, v, e)
}

// IsDigestError reports whether a document was rejected because its digest was
// not the announced one.
func IsDigestError(e error) bool {
	return errors.Is(e, errDigest)
}

// Reject remembers that a version could not even be read.
func (s *Store) Reject(d lavenderridge.DocumentName, o Offer, f lavenderridge.Findings) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remember(lavenderridge.Rejection{Document: d, Version: o.Version, Origin: o.Origin, Time: o.Time, Findings: f})
}

// Conflicts reports whether the stamp p has the version of the document d in
// force with another digest, and remembers that. It reports the same conflict
// with the same origin once.
func (s *Store) Conflicts(d lavenderridge.DocumentName, o Offer, p lavenderridge.Stamp) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := s.list.acceptance.Stamp
	if d == lavenderridge.DocumentCatalogue {
		h = s.catalogue.acceptance.Stamp
	}
	if h.Version == 0 || compare(h, p) != VerdictConflict || s.rejected(d, o) {
		return false
	}
	_, _ = s.settle(d, o, VerdictConflict, nil)
	return true
}

func (s *Store) rejected(d lavenderridge.DocumentName, o Offer) bool {
	for _, v := range s.rejections {
		if v.Document == d && v.Version == o.Version && v.Origin == o.Origin {
			return true
		}
	}
	return false
}

// Rejections returns the versions that were rejected of late, oldest first.
func (s *Store) Rejections() []lavenderridge.Rejection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]lavenderridge.Rejection(nil), s.rejections...)
}

// Serve returns the document d in force, as a delta from the version h where
// that is known, or else whole. The reply has neither when h is as new.
func (s *Store) Serve(d lavenderridge.DocumentName, h lavenderridge.Stamp) *lavenderridge.PullReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if d == lavenderridge.DocumentCatalogue {
		return s.catalogue.serve(h)
	}
	return s.list.serve(h)
}

// settle publishes an accepted version and remembers one that was not.
func (s *Store) settle(d lavenderridge.DocumentName, o Offer, v Verdict, e error) (Verdict, error) {
	switch v {
	case VerdictAccepted:
		s.publish(o.Time)
	case VerdictConflict:
		f := lavenderridge.Findings{{Place: string(d), Message: "this version is in force with another digest"}}
		s.remember(lavenderridge.Rejection{Document: d, Version: o.Version, Origin: o.Origin, Time: o.Time, Conflict: true, Findings: f})
	case VerdictRejected:
		s.remember(lavenderridge.Rejection{Document: d, Version: o.Version, Origin: o.Origin, Time: o.Time, Findings: findingsOf(d, e)})
	}
	return v, e
}

func (s *Store) publish(t time.Time) {
	close(s.changed)
	s.changed = make(chan struct{})
	if s.catalogue.value == nil || s.list.value == nil {
		return
	}
	p := lavenderridge.Stamps{Catalogue: s.catalogue.acceptance.Stamp, InstanceList: s.list.acceptance.Stamp}
	s.current.Store(lavenderridge.NewSnapshot(s.catalogue.value, s.list.value, p, t))
}

// remember keeps the latest rejection of each version from each origin.
func (s *Store) remember(r lavenderridge.Rejection) {
	for i, v := range s.rejections {
		if v.Document == r.Document && v.Version == r.Version && v.Origin == r.Origin {
			s.rejections = append(s.rejections[:i:i], s.rejections[i+1:]...)
			break
		}
	}
	s.rejections = append(s.rejections, r)
	if len(s.rejections) > maxRejections {
		s.rejections = append([]lavenderridge.Rejection(nil), s.rejections[1:]...)
	}
}
