package lavenderridge

// A Codec encodes documents and deltas canonically and decodes them. Equal
// documents have equal encodings.
type Codec interface {
	EncodeCatalogue(c *Catalogue) ([]byte, error)
	DecodeCatalogue(b []byte) (*Catalogue, error)
	EncodeInstanceList(l *InstanceList) ([]byte, error)
	DecodeInstanceList(b []byte) (*InstanceList, error)
	EncodeCatalogueDelta(d *CatalogueDelta) ([]byte, error)
	DecodeCatalogueDelta(b []byte) (*CatalogueDelta, error)
	EncodeInstanceListDelta(d *InstanceListDelta) ([]byte, error)
	DecodeInstanceListDelta(b []byte) (*InstanceListDelta, error)
}
