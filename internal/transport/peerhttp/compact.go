package peerhttp

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// minCompressedSize is the size from which compression is worthwhile.
	minCompressedSize = lavenderridge.Kibibyte
	// maxDecompressedSize bounds the memory that a received document may need when
	// it is decompressed.
	maxDecompressedSize = 4 * lavenderridge.Mebibyte
)

// wireSender is the wire form of a sender in the messages that disseminate
// versions. It is an array and not a map to save bytes, because each daemon sends
// such a message every second.
type wireSender struct {
	_            struct{} `cbor:",toarray"`
	Instance     lavenderridge.InstanceID
	DataCentre   lavenderridge.DataCentreID
	Incarnation  lavenderridge.Incarnation
	Catalogue    wireStamp
	InstanceList wireStamp
}

// wireStamp is the wire form of a stamp. The digest of version 0 is omitted.
type wireStamp struct {
	_       struct{} `cbor:",toarray"`
	Version lavenderridge.Version
	Digest  []byte
}

// wireExchange is the wire form of an exchange. SourceAge is in milliseconds,
// rounded up.
type wireExchange struct {
	_         struct{} `cbor:",toarray"`
	Sender    wireSender
	Address   lavenderridge.Address
	Leaving   bool
	Suspects  []lavenderridge.Suspect
	SourceAge uint64
}

// wirePullRequest is the wire form of a pull request.
type wirePullRequest struct {
	_      struct{} `cbor:",toarray"`
	Sender wireSender
	Name   lavenderridge.DocumentName
	Have   wireStamp
}

// wirePullReply is the wire form of a pull reply. A whole document is in
// Compressed if that makes it smaller, and in Whole otherwise. A delta is compressed
// if that makes it smaller; daemons that don't know this pull the whole document.
type wirePullReply struct {
	_          struct{} `cbor:",toarray"`
	Sender     wireSender
	Stamp      wireStamp
	Whole      []byte
	Compressed []byte
	Delta      []byte
	Busy       bool
}

// compactForm returns the wire form of v, or v itself if its type has none.
func compactForm(v any) any {
	switch q := v.(type) {
	case *lavenderridge.Exchange:
		return newWireExchange(q)
	case *lavenderridge.PullRequest:
		return &wirePullRequest{Sender: newWireSender(&q.Sender), Name: q.Name, Have: newWireStamp(q.Have)}
	case *lavenderridge.PullReply:
		return newWirePullReply(q)
	case *lavenderridge.ActivationRequest:
		return newWireActivationRequest(q)
	default:
		return v
	}
}

// decodeCompact decodes the wire form in b into v.
func decodeCompact(b []byte, v any) error {
	switch q := v.(type) {
	case *lavenderridge.Exchange:
		return decodeInto(b, q, (*wireExchange).exchange)
	case *lavenderridge.PullRequest:
		return decodeInto(b, q, (*wirePullRequest).request)
	case *lavenderridge.PullReply:
		return decodeInto(b, q, (*wirePullReply).reply)
	case *lavenderridge.ActivationRequest:
		return decodeInto(b, q, (*wireActivationRequest).request)
	default:
		return cborDecoder.Unmarshal(b, v)
	}
}

// decodeInto decodes a W from b, converts it with f and stores the result in v.
func decodeInto[W, V any](b []byte, v *V, f func(*W) (V, error)) error {
	var w W
	if e := cborDecoder.Unmarshal(b, &w); e != nil {
		return e
	}
	r, e := f(&w)
	if e == nil {
		*v = r
	}
	return e
}

func newWireStamp(s lavenderridge.Stamp) wireStamp {
	w := wireStamp{Version: s.Version}
	if s.Version > 0 {
		w.Digest = s.Digest[:]
	}
	return w
}

func (w *wireStamp) stamp() (lavenderridge.Stamp, error) {
	s := lavenderridge.Stamp{Version: w.Version}
	if w.Version == 0 && len(w.Digest) == 0 {
		return s, nil
	}
	d, e := parseDigest(w.Digest)
	s.Digest = d
	return s, e
}

func newWireSender(s *lavenderridge.Sender) wireSender {
	return wireSender{
		Instance: s.Instance, DataCentre: s.DataCentre, Incarnation: s.Incarnation,
		Catalogue: newWireStamp(s.Stamps.Catalogue), InstanceList: newWireStamp(s.Stamps.InstanceList),
	}
}

func (w *wireSender) sender() (lavenderridge.Sender, error) {
	c, e := w.Catalogue.stamp()
	l, x := w.InstanceList.stamp()
	return lavenderridge.Sender{
		Instance: w.Instance, DataCentre: w.DataCentre, Incarnation: w.Incarnation,
		Stamps: lavenderridge.Stamps{Catalogue: c, InstanceList: l},
	}, errors.Join(e, x)
}

func newWireExchange(q *lavenderridge.Exchange) *wireExchange {
	return &wireExchange{
		Sender: newWireSender(&q.Sender), Address: q.Address, Leaving: q.Leaving, Suspects: q.Suspects,
		SourceAge: uint64((max(q.SourceAge, 0) + time.Millisecond - 1).Milliseconds()),
	}
}

func (w *wireExchange) exchange() (lavenderridge.Exchange, error) {
	s, e := w.Sender.sender()
	if w.SourceAge > uint64(maxSourceAge.Milliseconds()) {
		return lavenderridge.Exchange{}, fmt.Errorf("peerhttp: source age of %d ms is too large", w.SourceAge)
	}
	return lavenderridge.Exchange{
		Sender: s, Address: w.Address, Leaving: w.Leaving, Suspects: w.Suspects,
		SourceAge: time.Duration(w.SourceAge) * time.Millisecond,
	}, e
}

// maxSourceAge bounds the source age in a received message, which a
// time.Duration could not hold if it were arbitrarily large.
const maxSourceAge = 10 * 365 * 24 * time.Hour

func (w *wirePullRequest) request() (lavenderridge.PullRequest, error) {
	s, e := w.Sender.sender()
	h, x := w.Have.stamp()
	return lavenderridge.PullRequest{Sender: s, Name: w.Name, Have: h}, errors.Join(e, x)
}

func newWirePullReply(p *lavenderridge.PullReply) *wirePullReply {
	w := &wirePullReply{Sender: newWireSender(&p.Sender), Stamp: newWireStamp(p.Stamp), Whole: p.Whole, Delta: p.Delta, Busy: p.Busy}
	if b, o := compress(p.Whole); o {
		w.Whole, w.Compressed = nil, b
	}
	if b, o := compress(p.Delta); o {
		w.Delta = b
	}
	return w
}

// compress returns b compressed, and false if that is not worthwhile.
func compress(b []byte) ([]byte, bool) {
	if lavenderridge.ByteCount(len(b)) < minCompressedSize {
		return nil, false
	}
	z := compressor().EncodeAll(b, nil)
	return z, len(z) < len(b)
}

// compressedMagic begins compressed data, and no encoding of a delta.
var compressedMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// decompress returns b decompressed.
func decompress(b []byte) ([]byte, error) {
	d, e := decompressor().DecodeAll(b, nil)
	if e != nil {
		return nil, fmt.Errorf("peerhttp: decompress: %w", e)
	}
	return d, nil
}

func (w *wirePullReply) reply() (lavenderridge.PullReply, error) {
	s, e := w.Sender.sender()
	t, x := w.Stamp.stamp()
	p := lavenderridge.PullReply{Sender: s, Stamp: t, Whole: w.Whole, Delta: w.Delta, Busy: w.Busy}
	e = errors.Join(e, x)
	if e == nil && len(w.Compressed) > 0 {
		p.Whole, e = decompress(w.Compressed)
	}
	if e == nil && bytes.HasPrefix(w.Delta, compressedMagic) {
		p.Delta, e = decompress(w.Delta)
	}
	return p, e
}

var compressor = sync.OnceValue(func() *zstd.Encoder {
	z, e := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10), zstd.WithLowerEncoderMem(true))
	if e != nil {
		panic(e)
	}
	return z
})

var decompressor = sync.OnceValue(func() *zstd.Decoder {
	z, e := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxDecompressedSize)))
	if e != nil {
		panic(e)
	}
	return z
})
