package plan

import (
	"fmt"
	"time"
)

// A Step is one fault at its time.
type Step struct {
	// At is the time since callers began.
	At    time.Duration
	Fault Fault
	// Daemon is the number of the daemon, or of the data centre for Away.
	Daemon int
	// Link is set for faults of links.
	Link Link
	// For is how long the fault lasts; zero for those that are over at once.
	For time.Duration
}

// String returns the step on one line.
func (s Step) String() string {
	return fmt.Sprintf("%s %s %d %s for %s", s.At.Round(time.Millisecond), s.Fault, s.Daemon, s.Link, s.For.Round(time.Millisecond))
}
