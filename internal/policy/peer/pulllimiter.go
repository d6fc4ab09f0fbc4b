package peer

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	maxPulls   = 64
	wholeRate  = 20
	wholeBurst = 20
)

// A PullLimiter bounds the pulls that a daemon serves, so that a fleet which
// starts again does not sink the daemons that are up.
type PullLimiter struct {
	running atomic.Int64
	wholes  *rate.Limiter
}

// NewPullLimiter returns a limiter with nothing running.
func NewPullLimiter() *PullLimiter {
	return &PullLimiter{wholes: rate.NewLimiter(wholeRate, wholeBurst)}
}

// Begin reports whether one more pull may be served; End must follow then.
func (l *PullLimiter) Begin() bool {
	if l.running.Add(1) <= maxPulls {
		return true
	}
	l.running.Add(-1)
	return false
}

// End takes in that a pull was served.
func (l *PullLimiter) End() {
	l.running.Add(-1)
}

// Whole reports whether a whole document may be sent at the time t.
func (l *PullLimiter) Whole(t time.Time) bool {
	return l.wholes.AllowN(t, 1)
}
