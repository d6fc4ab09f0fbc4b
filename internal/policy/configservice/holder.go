package configservice

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// maxHistory is the number of versions from which deltas are served.
	maxHistory = 16
	// maxEncoded bounds the canonical encoding of a document.
	maxEncoded = 2 * lavenderridge.Mebibyte
)

var errDigest = errors.New("configservice: the digest is not the announced one")

// form says how to handle one kind of document T with deltas D.
type form[T, D any] struct {
	name        lavenderridge.DocumentName
	encode      func(*T) ([]byte, error)
	decode      func([]byte) (*T, error)
	encodeDelta func(*D) ([]byte, error)
	decodeDelta func([]byte) (*D, error)
	diff        func(a, b *T) *D
	patch       func(*T, *D) *T
	validate    func(*T) lavenderridge.Findings
}

// holder holds the version of one document that is in force and those before
// it. Its caller sees to it that one goroutine uses it at a time.
type holder[T, D any] struct {
	form[T, D]
	acceptance lavenderridge.Acceptance
	value      *T
	encoded    []byte
	history    []past[T]
	deltas     map[lavenderridge.Stamp][]byte
}

// past is a version that was in force.
type past[T any] struct {
	stamp lavenderridge.Stamp
	value *T
}

// offer decides on the value v. The digest in a must be right when it is set.
func (h *holder[T, D]) offer(o Offer, v *T, a lavenderridge.Digest) (Verdict, error) {
	b, e := h.encode(v)
	if e != nil {
		return VerdictRejected, fmt.Errorf("configservice: %w", e)
	}
	p := lavenderridge.Stamp{Version: o.Version, Digest: sha256.Sum256(b)}
	if a != (lavenderridge.Digest{}) && a != p.Digest {
		return VerdictRejected, errDigest
	}
	if d := compare(h.acceptance.Stamp, p); d != VerdictAccepted {
		return d, nil
	}
	if e := h.check(v, b); e != nil {
		return VerdictRejected, e
	}
	h.accept(o, p, v, b)
	return VerdictAccepted, nil
}

func (h *holder[T, D]) check(v *T, b []byte) error {
	f := h.validate(v)
	if n := lavenderridge.ByteCount(len(b)); n > maxEncoded {
		f.Add(string(h.name), "%d bytes are above the limit of %d", n, maxEncoded)
	}
	return f.Err()
}

func (h *holder[T, D]) accept(o Offer, p lavenderridge.Stamp, v *T, b []byte) {
	if h.value != nil {
		h.history = append(h.history, past[T]{stamp: h.acceptance.Stamp, value: h.value})
	}
	if len(h.history) > maxHistory {
		h.history = append([]past[T](nil), h.history[1:]...)
	}
	h.acceptance = lavenderridge.Acceptance{Stamp: p, Origin: o.Origin, Time: o.Time}
	h.value, h.encoded = v, b
	h.deltas = make(map[lavenderridge.Stamp][]byte)
}

// offerReply decides on what a peer sent: a whole document or a delta.
func (h *holder[T, D]) offerReply(o Offer, p *lavenderridge.PullReply) (Verdict, error) {
	if compare(h.acceptance.Stamp, p.Stamp) == VerdictOlder {
		return VerdictOlder, nil
	}
	v, e := h.read(p)
	if e != nil {
		return VerdictRejected, e
	}
	return h.offer(o, v, p.Stamp.Digest)
}

func (h *holder[T, D]) read(p *lavenderridge.PullReply) (*T, error) {
	if p.Delta == nil {
		return h.decode(p.Whole)
	}
	if h.value == nil {
		return nil, errDigest
	}
	d, e := h.decodeDelta(p.Delta)
	if e != nil {
		return nil, e
	}
	return h.patch(h.value, d), nil
}

// serve answers a peer that holds the version s.
func (h *holder[T, D]) serve(s lavenderridge.Stamp) *lavenderridge.PullReply {
	p := &lavenderridge.PullReply{Stamp: h.acceptance.Stamp}
	if p.Stamp.Version <= s.Version {
		return p
	}
	if p.Delta = h.delta(s); p.Delta == nil {
		p.Whole = h.encoded
	}
	return p
}

// delta returns the encoded delta from the version s, or nil when s is not
// known here or the whole is smaller.
func (h *holder[T, D]) delta(s lavenderridge.Stamp) []byte {
	if d, o := h.deltas[s]; o {
		return d
	}
	for _, v := range h.history {
		if v.stamp != s {
			continue
		}
		d, e := h.encodeDelta(h.diff(v.value, h.value))
		if e == nil && len(d) < len(h.encoded) {
			h.deltas[s] = d
			return d
		}
	}
	return nil
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
