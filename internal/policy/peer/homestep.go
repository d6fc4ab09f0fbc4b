package peer

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// homeStep is one membership that a home passed through.
type homeStep struct {
	membership *HomeMembership
	// since is the version under which the home met the membership first.
	since lavenderridge.Versions
	// activated is when the activation takes effect; zero before the last
	// acknowledgement has come.
	activated time.Time
	// memory is the time since which this home knows of every run of the keys
	// that the membership gives to it.
	memory time.Time
}

// active reports whether the activation is in effect at t.
func (s *homeStep) active(t time.Time) bool {
	return !s.activated.IsZero() && !s.activated.After(t)
}
