package peer

import "time"

// The default limits of homes.
const (
	DefaultKeyLifetime = 10 * time.Minute
	DefaultSkew        = time.Second
	DefaultFence       = 3 * time.Second
	DefaultRetryAfter  = time.Second
)

// HomeLimits are the durations that the rules for homes depend on. They are
// the same at every daemon.
type HomeLimits struct {
	// KeyLifetime is how long after its issue a key may be used.
	KeyLifetime time.Duration
	// Skew bounds the difference of any two clocks, those of callers included.
	Skew time.Duration
	// Fence is how long a home may go on without an exchange with another
	// listed instance of its service.
	Fence time.Duration
	// RetryAfter is the advice given with refusals that pass by themselves.
	RetryAfter time.Duration
}

// DefaultHomeLimits returns the limits that daemons use.
func DefaultHomeLimits() HomeLimits {
	return HomeLimits{
		KeyLifetime: DefaultKeyLifetime, Skew: DefaultSkew, Fence: DefaultFence,
		RetryAfter: DefaultRetryAfter,
	}
}

// Expiry returns when the ledger entry of a key may be dropped. A key that is
// first seen at t and has no time of issue counts from t.
func (l HomeLimits) Expiry(i time.Time, o bool, t time.Time) time.Time {
	if !o {
		i = t
	}
	return i.Add(l.KeyLifetime + 2*l.Skew)
}
