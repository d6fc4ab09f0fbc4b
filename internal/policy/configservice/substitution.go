package configservice

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// SubstitutePeriod is how long a daemon that was asked to reads the source in place
	// of a reader. It is longer than the pause between two calls of that reader.
	SubstitutePeriod = 3 * time.Second
	// substituteTimeout is the age of the fleet's last contact with the source from which
	// on the daemon that was asked last counts as refused, too.
	substituteTimeout = time.Second
	// maxSubstituteAge is the age of that contact from which on the source counts as
	// down. More daemons that read it would only make more calls that fail.
	maxSubstituteAge = 3 * time.Second
)

// A Substitution chooses the daemons that a reader asks to read the source in its place
// while the source refuses it. The source may serve the others all the while.
type Substitution struct {
	passed int // substitutes that were refused as well
}

// Next returns the instance to ask after n failures in a row of the reader s in the data
// centre d, where g is the age of the fleet's last contact with the source. It returns ""
// if none is to be asked. The list l and the catalogue c are those that choose the
// readers.
func (u *Substitution) Next(l *lavenderridge.InstanceList, c *lavenderridge.Catalogue, d lavenderridge.DataCentreID, s lavenderridge.InstanceID, n int, g time.Duration) lavenderridge.InstanceID {
	if g >= maxSubstituteAge {
		return ""
	}
	a := rankReaders(l, c, d)
	if len(a) <= readersPerDataCentre {
		return ""
	}
	switch {
	case n <= 1:
		u.passed = 0
	case g >= substituteTimeout:
		u.passed++
	}
	// The readers of a data centre ask different daemons.
	r := 0
	if a[0] != s {
		r = 1
	}
	a = a[readersPerDataCentre:]
	return a[(r+readersPerDataCentre*u.passed)%len(a)]
}
