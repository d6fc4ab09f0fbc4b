package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Publication is the publication of a version of the catalogue.
type Publication struct {
	Version lavenderridge.Version
	Time    time.Time
}
