package assembly

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A SystemClock reads the system clock.
type SystemClock struct{}

var _ lavenderridge.Clock = SystemClock{}

// Now implements lavenderridge.Clock.
func (SystemClock) Now() time.Time {
	return time.Now()
}
