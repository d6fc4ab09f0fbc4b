package canonicalcbor

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/lavenderridge/lavenderridge"
)

// Limits of a received document.
const (
	maxElements = 1 << 17
	maxNesting  = 16
)

// A Codec encodes documents in deterministic CBOR, so that equal documents have
// equal encodings. Its decoder rejects unknown fields, duplicate map keys and
// indefinite lengths.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

var _ lavenderridge.Codec = (*Codec)(nil)

// NewCodec returns a codec.
func NewCodec() *Codec {
	e, x := cbor.CoreDetEncOptions().EncMode()
	if x != nil {
		panic(x)
	}
	d, x := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		MaxNestedLevels:   maxNesting,
	}.DecMode()
	if x != nil {
		panic(x)
	}
	return &Codec{encoder: e, decoder: d}
}

// EncodeCatalogue implements lavenderridge.Codec.
func (k *Codec) EncodeCatalogue(c *lavenderridge.Catalogue) ([]byte, error) {
	return k.encode(c)
}

// DecodeCatalogue implements lavenderridge.Codec.
func (k *Codec) DecodeCatalogue(b []byte) (*lavenderridge.Catalogue, error) {
	return decode[lavenderridge.Catalogue](k, b)
}

// EncodeInstanceList implements lavenderridge.Codec.
func (k *Codec) EncodeInstanceList(l *lavenderridge.InstanceList) ([]byte, error) {
	return k.encode(l)
}

// DecodeInstanceList implements lavenderridge.Codec.
func (k *Codec) DecodeInstanceList(b []byte) (*lavenderridge.InstanceList, error) {
	return decode[lavenderridge.InstanceList](k, b)
}

// EncodeCatalogueDelta implements lavenderridge.Codec.
func (k *Codec) EncodeCatalogueDelta(d *lavenderridge.CatalogueDelta) ([]byte, error) {
	return k.encode(d)
}

// DecodeCatalogueDelta implements lavenderridge.Codec.
func (k *Codec) DecodeCatalogueDelta(b []byte) (*lavenderridge.CatalogueDelta, error) {
	return decode[lavenderridge.CatalogueDelta](k, b)
}

// EncodeInstanceListDelta implements lavenderridge.Codec.
func (k *Codec) EncodeInstanceListDelta(d *lavenderridge.InstanceListDelta) ([]byte, error) {
	return k.encode(d)
}

// DecodeInstanceListDelta implements lavenderridge.Codec.
func (k *Codec) DecodeInstanceListDelta(b []byte) (*lavenderridge.InstanceListDelta, error) {
	return decode[lavenderridge.InstanceListDelta](k, b)
}

func (k *Codec) encode(v any) ([]byte, error) {
	b, e := k.encoder.Marshal(v)
	if e != nil {
		return nil, fmt.Errorf("canonicalcbor: encode: %w", e)
	}
	return b, nil
}

func decode[T any](k *Codec, b []byte) (*T, error) {
	var v T
	if e := k.decoder.Unmarshal(b, &v); e != nil {
		return nil, fmt.Errorf("canonicalcbor: decode: %w", e)
	}
	return &v, nil
}
