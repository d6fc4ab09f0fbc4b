package peer

import "time"

// The default limits of homes.
const (
	DefaultKeyLifetime = 10 * time.Minute
	DefaultSkew        = time.Second
	DefaultFence       = 1500 * time.Millisecond
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

// quiet returns how long after the list has dropped an instance another may
// take its place. After one fence the dropped instance has heard of the later
// list or is fenced. If the list names it again within that time, a home that
// has not heard so is fenced after one more. The tenth is for clocks that run
// at different rates.
func (l HomeLimits) quiet() time.Duration {
	return 2*l.Fence + l.Fence/10
}
