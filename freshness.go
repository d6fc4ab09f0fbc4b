package lavenderridge

import "time"

// A Freshness reports how far a catalogue may be behind the source.
type Freshness interface {
	// CatalogueAge returns a bound on the time that has passed since no version later than
	// v was at the source. It reports false if none is known.
	CatalogueAge(v Version) (time.Duration, bool)
}
