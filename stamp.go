package lavenderridge

// A Stamp identifies one version of a document together with its content.
type Stamp struct {
	Version Version
	Digest  Digest
}
