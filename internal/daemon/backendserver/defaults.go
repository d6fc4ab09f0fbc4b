package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// defaults reads the clock of the machine, records nothing and is ready.
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
