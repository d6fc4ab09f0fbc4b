package confighttp

import (
	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/cataloguetoml"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
)

// A Parser parses the documents that the configuration service publishes.
type Parser struct{}

var _ lavenderridge.Parser = Parser{}

// ParseCatalogue returns the catalogue in the TOML text b.
func (Parser) ParseCatalogue(b []byte) (*lavenderridge.Catalogue, error) {
	return cataloguetoml.Parse(b)
}

// ParseInstanceList returns the instance list in the JSON text b.
func (Parser) ParseInstanceList(b []byte) (*lavenderridge.InstanceList, error) {
	return instancesjson.Parse(b)
}
