package lavenderridge

// A Parser reads documents in the formats in which they are published.
type Parser interface {
	// ParseCatalogue returns the catalogue in b. Its error is Findings with the
	// faults of form. The catalogue may be returned along with the error, so that
	// its content can be checked too; it is nil if b cannot be decoded.
	ParseCatalogue(b []byte) (*Catalogue, error)
	// ParseInstanceList is like ParseCatalogue for an instance list.
	ParseInstanceList(b []byte) (*InstanceList, error)
}
