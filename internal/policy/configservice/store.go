package configservice

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/instancelist"
)

// maxRejections is the number of rejected versions that a store keeps for
// operators; the oldest is dropped first.
const maxRejections = 16

// A Store decides whether offered versions of the two documents are accepted
// and holds a snapshot of the accepted ones. Request paths load the snapshot
// through an atomic pointer; writers hold a mutex. The version of a document
// never decreases.
type Store struct {
	snapshot atomic.Pointer[lavenderridge.Snapshot]

	mutex        sync.Mutex
	catalogue    versionedDocument[lavenderridge.Catalogue, lavenderridge.CatalogueDelta]
	instanceList versionedDocument[lavenderridge.InstanceList, lavenderridge.InstanceListDelta]
	rejections   []lavenderridge.Rejection
	// retention is set if the versions of instance lists contain eras.
	retention *retention
	// used is the instance list that is used: the accepted one, with what the
	// retention holds.
	used *lavenderridge.InstanceList
	// changed is closed and replaced when a version is accepted.
	changed chan struct{}
}

var _ lavenderridge.SnapshotSource = (*Store)(nil)

// NewStore returns a store without any accepted version. It encodes and decodes
// documents with k.
func NewStore(k lavenderridge.Codec) *Store {
	s := &Store{changed: make(chan struct{})}
	s.catalogue.documentOperations = documentOperations[lavenderridge.Catalogue, lavenderridge.CatalogueDelta]{
		name: lavenderridge.DocumentCatalogue, encode: k.EncodeCatalogue, decode: k.DecodeCatalogue,
		encodeDelta: k.EncodeCatalogueDelta, decodeDelta: k.DecodeCatalogueDelta,
		diff: DiffCatalogue, patch: PatchCatalogue, compose: ComposeCatalogue, validate: ValidateCatalogue,
	}
	s.instanceList.documentOperations = documentOperations[lavenderridge.InstanceList, lavenderridge.InstanceListDelta]{
		name: lavenderridge.DocumentInstanceList, encode: k.EncodeInstanceList, decode: k.DecodeInstanceList,
		encodeDelta: k.EncodeInstanceListDelta, decodeDelta: k.DecodeInstanceListDelta,
		diff: DiffInstanceList, patch: PatchInstanceList, compose: ComposeInstanceList, validate: instancelist.Validate,
	}
	return s
}

// OrderByEra makes the store hold what this daemon has seen for a while when the era in
// the version of the instance list rises. It is called before the first offer.
func (s *Store) OrderByEra() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.retention = newRetention()
}

// HeldUntil returns when Release next has an effect. It reports false if nothing is held.
func (s *Store) HeldUntil() (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.retention == nil {
		return time.Time{}, false
	}
	return s.retention.until()
}

// Release ends what is held until the time t or before.
func (s *Store) Release(t time.Time) {
	if u, o := s.HeldUntil(); !o || t.Before(u) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used = s.retention.build(t)
	s.publish(t)
}

// Snapshot implements lavenderridge.SnapshotSource.
func (s *Store) Snapshot() *lavenderridge.Snapshot {
	return s.snapshot.Load()
}

// Changed returns a channel that is closed when the next version of either
// document is accepted.
func (s *Store) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Acceptance returns the stamp, the origin and the time of the accepted version
// of d. It is zero before the first one.
func (s *Store) Acceptance(d lavenderridge.DocumentName) lavenderridge.Acceptance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if d == lavenderridge.DocumentCatalogue {
		return s.catalogue.acceptance
	}
	return s.instanceList.acceptance
}

// Stamps returns the stamps of both accepted documents. Unlike the snapshot,
// which needs both, it contains the first document as soon as it is accepted.
func (s *Store) Stamps() lavenderridge.Stamps {
	return lavenderridge.Stamps{
		Catalogue:    s.Acceptance(lavenderridge.DocumentCatalogue).Stamp,
		InstanceList: s.Acceptance(lavenderridge.DocumentInstanceList).Stamp,
	}
}

// InstanceList returns the instance list that is used, or nil before the first. There
// may be a list but no snapshot, while no catalogue has been accepted.
func (s *Store) InstanceList() *lavenderridge.InstanceList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.used
}

// Catalogue returns the accepted catalogue, or nil.
func (s *Store) Catalogue() *lavenderridge.Catalogue {
	if n := s.Snapshot(); n != nil {
		return n.Catalogue
	}
	return nil
}

// OfferCatalogue accepts or rejects the catalogue c. The error is of type
// Findings when c is rejected because it is invalid.
func (s *Store) OfferCatalogue(o Offer, c *lavenderridge.Catalogue) (OfferResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v, e := s.catalogue.offer(o, c, nil, lavenderridge.Digest{})
	return s.recordResult(lavenderridge.DocumentCatalogue, o, v, e)
}

// OfferInstanceList accepts or rejects the instance list l.
func (s *Store) OfferInstanceList(o Offer, l *lavenderridge.InstanceList) (OfferResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v, e := s.instanceList.offer(o, l, nil, lavenderridge.Digest{})
	return s.recordResult(lavenderridge.DocumentInstanceList, o, v, e)
}

// OfferReply accepts or rejects the document d that a peer sent, whole or as a
// delta. If the document that a delta produces does not have the announced
// digest, IsDigestError is true for the error and no rejection is recorded: the
// caller should fetch the whole document.
func (s *Store) OfferReply(d lavenderridge.DocumentName, g lavenderridge.Origin, p *lavenderridge.PullReply, t time.Time) (OfferResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o := Offer{Version: p.Stamp.Version, Origin: g, Time: t}
	var v OfferResult
	var e error
	if d == lavenderridge.DocumentCatalogue {
		v, e = s.catalogue.offerReply(o, p)
	} else {
		v, e = s.instanceList.offerReply(o, p)
	}
	if p.Delta != nil && IsDigestError(e) {
		return v, e
	}
	return s.recordResult(d, o, v, e)
}

// IsDigestError reports whether a document was rejected because its digest
// differs from the announced one.
func IsDigestError(e error) bool {
	return errors.Is(e, errDigestMismatch)
}

// RecordRejection records that a version was not offered, because parsing or
// validating it gave the findings f.
func (s *Store) RecordRejection(d lavenderridge.DocumentName, o Offer, f lavenderridge.Findings) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keepRejection(lavenderridge.Rejection{Document: d, Version: o.Version, Origin: o.Origin, Time: o.Time, Findings: f})
}

// RecordConflict records a conflict if the stamp p has the accepted version of the
// document d but a different digest, and reports whether it did. It records none
// while a rejection of the same version from the same origin is kept.
func (s *Store) RecordConflict(d lavenderridge.DocumentName, o Offer, p lavenderridge.Stamp) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := s.instanceList.acceptance.Stamp
	if d == lavenderridge.DocumentCatalogue {
		h = s.catalogue.acceptance.Stamp
	}
	if h.Version == 0 || compareStamps(h, p) != OfferConflict || s.hasRejection(d, o) {
		return false
	}
	_, _ = s.recordResult(d, o, OfferConflict, nil)
	return true
}

// HasRejection reports whether a rejection of the same version of the document d from
// the same origin is kept.
func (s *Store) HasRejection(d lavenderridge.DocumentName, o Offer) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.hasRejection(d, o)
}

func (s *Store) hasRejection(d lavenderridge.DocumentName, o Offer) bool {
	for _, v := range s.rejections {
		if v.Document == d && v.Version == o.Version && v.Origin == o.Origin {
			return true
		}
	}
	return false
}

// Rejections returns the latest rejected versions, oldest first.
func (s *Store) Rejections() []lavenderridge.Rejection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]lavenderridge.Rejection(nil), s.rejections...)
}

// Serve returns the reply to a peer that has the version h of the document d:
// a delta from h if that version is still in the history, or else the whole
// document. The reply contains neither when h is not older than the accepted
// version.
func (s *Store) Serve(d lavenderridge.DocumentName, h lavenderridge.Stamp) *lavenderridge.PullReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if d == lavenderridge.DocumentCatalogue {
		return s.catalogue.serve(h)
	}
	return s.instanceList.serve(h)
}

// recordResult publishes an accepted version, or records a conflict or a
// rejection. It returns v and e.
func (s *Store) recordResult(d lavenderridge.DocumentName, o Offer, v OfferResult, e error) (OfferResult, error) {
	switch v {
	case OfferAccepted:
		if d == lavenderridge.DocumentInstanceList {
			s.useList(o)
		}
		s.publish(o.Time)
	case OfferConflict:
		f := lavenderridge.Findings{{Place: string(d), Message: "this version is already accepted with a different digest"}}
		s.keepRejection(lavenderridge.Rejection{Document: d, Version: o.Version, Origin: o.Origin, Time: o.Time, Conflict: true, Findings: f})
	case OfferRejected:
		s.keepRejection(lavenderridge.Rejection{Document: d, Version: o.Version, Origin: o.Origin, Time: o.Time, Findings: findingsOf(d, e)})
	}
	return v, e
}

// useList makes the accepted instance list, which was offered as o, the used one.
func (s *Store) useList(o Offer) {
	s.used = s.instanceList.value
	if s.retention != nil {
		s.used = s.retention.accept(s.used, o.Version, o.Time)
	}
}

// publish wakes the receivers of Changed, and replaces the snapshot once both
// documents have been accepted.
func (s *Store) publish(t time.Time) {
	close(s.changed)
	s.changed = make(chan struct{})
	if s.catalogue.value == nil || s.instanceList.value == nil {
		return
	}
	p := lavenderridge.Stamps{Catalogue: s.catalogue.acceptance.Stamp, InstanceList: s.instanceList.acceptance.Stamp}
	var n *lavenderridge.Snapshot
	if o := s.snapshot.Load(); o != nil && o.Catalogue == s.catalogue.value {
		n = o.WithInstanceList(s.instanceList.value, p, t)
	} else {
		n = lavenderridge.NewSnapshot(s.catalogue.value, s.instanceList.value, p, t)
	}
	if s.used != s.instanceList.value {
		n = n.WithUsedList(s.used)
	}
	s.snapshot.Store(n)
}

// keepRejection adds r to the kept rejections. It replaces an earlier rejection of
// the same version from the same origin.
func (s *Store) keepRejection(r lavenderridge.Rejection) {
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
