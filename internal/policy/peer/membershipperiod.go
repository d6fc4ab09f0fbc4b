package peer

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// membershipPeriod is the time during which a home had one membership.
type membershipPeriod struct {
	membership *HomeMembership
	// firstVersions are the versions under which the home first adopted the
	// membership.
	firstVersions lavenderridge.Versions
	// activeFrom is when the activation takes effect. It is zero while an
	// acknowledgement is missing.
	activeFrom time.Time
	// runsKnownSince is the time since which this home knows of every run of
	// the keys that the membership assigns to it.
	runsKnownSince time.Time
}

// active reports whether the activation is in effect at t.
func (s *membershipPeriod) active(t time.Time) bool {
	return !s.activeFrom.IsZero() && !s.activeFrom.After(t)
}
