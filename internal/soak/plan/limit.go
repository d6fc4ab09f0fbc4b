package plan

import (
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Limit is a period in which a backend server names a limit in its responses.
type Limit struct {
	// At is the start, counted from the start of the load.
	At time.Duration
	// Daemon is the index of the daemon beside the backend server.
	Daemon int
	// Rate is the limit in requests per second.
	Rate     lavenderridge.Rate
	Duration time.Duration
}

// String returns the limit on one line.
func (l Limit) String() string {
	return fmt.Sprintf("%s limit %g at %d for %s", l.At.Round(time.Millisecond), l.Rate, l.Daemon, l.Duration.Round(time.Millisecond))
}
