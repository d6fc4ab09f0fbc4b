package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Span is a time in which something befell one daemon, or all of them when
// Instance is empty.
type Span struct {
	Instance lavenderridge.InstanceID
	What     string
	From, To time.Time
}

// touches reports whether the span concerns the daemon n from a to b.
func (s *Span) touches(n lavenderridge.InstanceID, a, b time.Time) bool {
	return (s.Instance == "" || s.Instance == n) && s.From.Before(b) && s.To.After(a)
}
