package lavenderridge

import "time"

// A Freshness reports how far the accepted catalogue may be behind the source.
type Freshness interface {
	// CatalogueAge returns a time that has passed at most since the accepted catalogue was
	// the newest one of the source. It reports false if that has never been known.
	CatalogueAge(t time.Time) (time.Duration, bool)
}
