package lavenderridge

import "time"

// A CatalogueProof states that the source had no catalogue later than Version at a moment
// that is at most Age ago. The zero value states nothing.
type CatalogueProof struct {
	Version Version
	Age     time.Duration
}
