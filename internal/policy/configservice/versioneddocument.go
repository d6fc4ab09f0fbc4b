package configservice

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// maxDeltaBases is the number of earlier versions from which deltas are served.
	maxDeltaBases = 16
	// maxEncodedSize is the size limit of the canonical encoding of a document.
	maxEncodedSize = 2 * lavenderridge.Mebibyte
)

var errDigestMismatch = errors.New("configservice: digest of the document differs from the announced digest")

// documentOperations holds the functions for one kind of document T with deltas
// of type D.
type documentOperations[T, D any] struct {
	name        lavenderridge.DocumentName
	encode      func(*T) ([]byte, error)
	decode      func([]byte) (*T, error)
	encodeDelta func(*D) ([]byte, error)
	decodeDelta func([]byte) (*D, error)
	diff        func(a, b *T) *D
	patch       func(*T, *D) *T
	compose     func(a, b *D) *D
	validate    func(*T) lavenderridge.Findings
}

// versionedDocument holds the accepted version of one document and the deltas that led to
// it from the versions before. It is not safe for concurrent use.
type versionedDocument[T, D any] struct {
	documentOperations[T, D]
	acceptance lavenderridge.Acceptance
	value      *T
	encoded    []byte
	history    []pastVersion[D]
	deltas     map[lavenderridge.Stamp][]byte
}

// pastVersion is a version that was accepted before the present one, with the delta to
// the version that was accepted next.
type pastVersion[D any] struct {
	stamp lavenderridge.Stamp
	delta *D
}

// offer accepts or rejects the value v. If the digest a is not zero, the
// encoding of v must have it. The delta d results in v from the accepted value; it is nil
// if it is not known.
func (h *versionedDocument[T, D]) offer(o Offer, v *T, d *D, a lavenderridge.Digest) (OfferResult, error) {
	b, e := h.encode(v)
	if e != nil {
		return OfferRejected, fmt.Errorf("configservice: %w", e)
	}
	p := lavenderridge.Stamp{Version: o.Version, Digest: sha256.Sum256(b)}
	if a != (lavenderridge.Digest{}) && a != p.Digest {
		return OfferRejected, errDigestMismatch
	}
	if c := compareStamps(h.acceptance.Stamp, p); c != OfferAccepted && (c != OfferConflict || !o.Decides) {
		return c, nil
	}
	if e := h.check(v, b); e != nil {
		return OfferRejected, e
	}
	if d == nil && h.value != nil {
		d = h.diff(h.value, v)
	}
	h.accept(o, p, v, d, b)
	return OfferAccepted, nil
}

func (h *versionedDocument[T, D]) check(v *T, b []byte) error {
	f := h.validate(v)
	if n := lavenderridge.ByteCount(len(b)); n > maxEncodedSize {
		f.Add(string(h.name), "%d bytes are above the limit of %d", n, maxEncodedSize)
	}
	return f.Err()
}

func (h *versionedDocument[T, D]) accept(o Offer, p lavenderridge.Stamp, v *T, d *D, b []byte) {
	if h.value != nil {
		h.history = append(h.history, pastVersion[D]{stamp: h.acceptance.Stamp, delta: d})
	}
	if len(h.history) > maxDeltaBases {
		h.history = append([]pastVersion[D](nil), h.history[1:]...)
	}
	h.acceptance = lavenderridge.Acceptance{Stamp: p, Origin: o.Origin, Time: o.Time}
	h.value, h.encoded = v, b
	h.deltas = make(map[lavenderridge.Stamp][]byte)
}

// offerReply accepts or rejects a whole document or a delta from a peer.
func (h *versionedDocument[T, D]) offerReply(o Offer, p *lavenderridge.PullReply) (OfferResult, error) {
	if compareStamps(h.acceptance.Stamp, p.Stamp) == OfferOlder {
		return OfferOlder, nil
	}
	v, d, e := h.decodeReply(p)
	if e != nil {
		return OfferRejected, e
	}
	return h.offer(o, v, d, p.Stamp.Digest)
}

// decodeReply returns the document of p, and the delta from the accepted one if p has it.
func (h *versionedDocument[T, D]) decodeReply(p *lavenderridge.PullReply) (*T, *D, error) {
	if p.Delta == nil {
		v, e := h.decode(p.Whole)
		return v, nil, e
	}
	if h.value == nil {
		return nil, nil, errDigestMismatch
	}
	d, e := h.decodeDelta(p.Delta)
	if e != nil {
		return nil, nil, e
	}
	return h.patch(h.value, d), d, nil
}

// serve returns the reply to a peer that has the version s.
func (h *versionedDocument[T, D]) serve(s lavenderridge.Stamp) *lavenderridge.PullReply {
	p := &lavenderridge.PullReply{Stamp: h.acceptance.Stamp}
	if p.Stamp.Version <= s.Version {
		return p
	}
	if p.Delta = h.delta(s); p.Delta == nil {
		p.Whole = h.encoded
	}
	return p
}

// delta returns the encoded delta from the version s, or nil if s is not in the
// history or the whole document is not larger than the delta. Deltas are cached
// until the next version is accepted.
func (h *versionedDocument[T, D]) delta(s lavenderridge.Stamp) []byte {
	if d, o := h.deltas[s]; o {
		return d
	}
	i := slices.IndexFunc(h.history, func(v pastVersion[D]) bool { return v.stamp == s })
	if i < 0 {
		return nil
	}
	c := h.history[i].delta
	for _, v := range h.history[i+1:] {
		c = h.compose(c, v.delta)
	}
	d, e := h.encodeDelta(c)
	if e != nil || len(d) >= len(h.encoded) {
		return nil
	}
	h.deltas[s] = d
	return d
}

// compareStamps returns the result of offering the stamp b to a store whose
// accepted stamp is a, before the document is validated.
func compareStamps(a, b lavenderridge.Stamp) OfferResult {
	switch {
	case b.Version < a.Version:
		return OfferOlder
	case b.Version > a.Version:
		return OfferAccepted
	case a.Digest != b.Digest:
		return OfferConflict
	default:
		return OfferSame
	}
}
