package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Span is the period of a fault or a planned shutdown at one daemon, or at all
// daemons if Instance is empty.
type Span struct {
	Instance lavenderridge.InstanceID
	// Kind is the kind of the fault, with the link for link faults.
	Kind     string
	From, To time.Time
}

// affects reports whether the span applies to the daemon n and overlaps the
// period from a to b.
func (s *Span) affects(n lavenderridge.InstanceID, a, b time.Time) bool {
	return (s.Instance == "" || s.Instance == n) && s.From.Before(b) && s.To.After(a)
}
