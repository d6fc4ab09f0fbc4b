package lavenderridge

// A Codec turns documents into their canonical encoding and back. Equal
// documents have equal encodings.
type Codec interface {
	EncodeCatalogue(c *Catalogue) ([]byte, error)
	DecodeCatalogue(b []byte) (*Catalogue, error)
	EncodeInstanceList(l *InstanceList) ([]byte, error)
	DecodeInstanceList(b []byte) (*InstanceList, error)
}
