package latency

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Plan describes a measurement.
type Plan struct {
	// Rate is the number of calls per second by all callers together.
	Rate lavenderridge.Rate
	// Callers is the number of callers, each with one connection.
	Callers int
	// Duration is how long each way is measured in each round.
	Duration time.Duration
	// Rounds is how often each way is measured.
	Rounds int
	// ServiceTime is how long a backend server takes for a request.
	ServiceTime time.Duration
	// Body is the size of a request's body.
	Body lavenderridge.ByteCount
}
