package lavenderridge

// A Parser reads documents in the formats in which they are published.
type Parser interface {
	// ParseCatalogue returns the catalogue, or Findings with every fault of
	// its form.
	ParseCatalogue(b []byte) (*Catalogue, error)
	// ParseInstanceList returns the instance list, or Findings.
	ParseInstanceList(b []byte) (*InstanceList, error)
}
