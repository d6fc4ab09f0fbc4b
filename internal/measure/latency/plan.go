package latency

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Plan describes a measurement.
type Plan struct {
	// Rate is the number of calls in a second.
	Rate lavenderridge.Rate
	// Callers is the number of callers, each with one connection.
	Callers int
	// Duration is the time of one way in one round.
	Duration time.Duration
	Rounds   int
	// ServiceTime is how long a backend server takes.
	ServiceTime time.Duration
	// Body is the size of the requests' bodies.
	Body lavenderridge.ByteCount
}
