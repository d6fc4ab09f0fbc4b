package plan

import (
	"fmt"
	"time"
)

// A Step is one scheduled fault of a plan.
type Step struct {
	// At is the start of the fault, counted from the start of the load.
	At    time.Duration
	Fault Fault
	// Daemon is the index of the daemon. For Away it is the index of the data
	// centre; Outage and Change ignore it.
	Daemon int
	// Link is empty for faults that do not act on a link.
	Link Link
	// Duration is the duration of the fault, the added latency for Delay, or for
	// Away the time beyond the bound within which the data centre must be drained.
	// It is zero for faults without a duration.
	Duration time.Duration
}

// String returns the step on one line.
func (s Step) String() string {
	return fmt.Sprintf("%s %s %d %s for %s", s.At.Round(time.Millisecond), s.Fault, s.Daemon, s.Link, s.Duration.Round(time.Millisecond))
}
