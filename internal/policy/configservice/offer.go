package configservice

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// An Offer says which version a document is said to have, where it came from
// and when.
type Offer struct {
	Version lavenderridge.Version
	Origin  lavenderridge.Origin
	Time    time.Time
}
