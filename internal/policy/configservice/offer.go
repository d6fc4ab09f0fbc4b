package configservice

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// An Offer describes a document that is offered to a Store: the version that its
// sender gives it, where it came from and when it arrived.
type Offer struct {
	Version lavenderridge.Version
	Origin  lavenderridge.Origin
	Time    time.Time
	// Decides is true if the document replaces the accepted one if both have the same
	// version but different content.
	Decides bool
}
