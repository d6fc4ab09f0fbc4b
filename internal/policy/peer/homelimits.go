package peer

import "time"

// The limits that DefaultHomeLimits returns.
const (
	DefaultKeyLifetime = 10 * time.Minute
	DefaultSkew        = time.Second
	DefaultFence       = 1500 * time.Millisecond
	DefaultRetryAfter  = time.Second
)

// HomeLimits are the durations that the rules for homes depend on. They must be
// the same at every daemon.
type HomeLimits struct {
	// KeyLifetime is how long after its time of issue a key may be used.
	KeyLifetime time.Duration
	// Skew is the largest difference between any two clocks, including those of
	// callers.
	Skew time.Duration
	// Fence is how long a home may run new keys without an exchange with another
	// listed instance of its service. An exchange is an ActivationRequest and
	// its reply; the exchanges of the gossip protocol do not count.
	Fence time.Duration
	// RetryAfter is the retry delay that temporary refusals advise.
	RetryAfter time.Duration
}

// DefaultHomeLimits returns the limits that daemons use.
func DefaultHomeLimits() HomeLimits {
	return HomeLimits{
		KeyLifetime: DefaultKeyLifetime, Skew: DefaultSkew, Fence: DefaultFence,
		RetryAfter: DefaultRetryAfter,
	}
}

// takeoverDelay returns how long after an instance was dropped from the list its
// keys may run elsewhere. Within one Fence the dropped instance has received the
// later list or is fenced. If the list names it again within that time, a home
// that has not received the new list is fenced within a second Fence. The
// remaining tenth allows for clocks that run at different rates.
func (l HomeLimits) takeoverDelay() time.Duration {
	return 2*l.Fence + l.Fence/10
}
