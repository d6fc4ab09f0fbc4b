package lavenderridge

// A Document is one version of a value as the configuration service holds it,
// before it is decoded or checked.
type Document struct {
	Name    DocumentName
	Version Version
	Body    []byte
}
