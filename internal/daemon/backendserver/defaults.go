package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// defaults implements the optional dependencies of an OwnerHandler: it reads the
// system clock, records no decisions and is always ready.
type defaults struct{}

var (
	_ lavenderridge.Clock     = defaults{}
	_ lavenderridge.Recorder  = defaults{}
	_ lavenderridge.Readiness = defaults{}
)

// Now implements lavenderridge.Clock.
func (defaults) Now() time.Time { return time.Now() }

// Record implements lavenderridge.Recorder.
func (defaults) Record(lavenderridge.Decision) {}

// Ready implements lavenderridge.Readiness.
func (defaults) Ready(time.Time) error { return nil }
