package peer

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// The limits on pulls that a daemon serves: those that run concurrently, and a
// token bucket for replies with a whole document.
const (
	maxConcurrentPulls      = 64
	wholeDocumentsPerSecond = 20
	wholeDocumentBurst      = 20
)

// A PullLimiter limits the pulls that a daemon serves, so that the restart of a
// whole fleet does not overload the daemons that are already running.
type PullLimiter struct {
	running        atomic.Int64
	wholeDocuments *rate.Limiter
}

// NewPullLimiter returns a limiter with no pull in progress.
func NewPullLimiter() *PullLimiter {
	return &PullLimiter{wholeDocuments: rate.NewLimiter(wholeDocumentsPerSecond, wholeDocumentBurst)}
}

// Begin reports whether one more pull may be served. If so, the caller must call
// End when the pull was served.
func (l *PullLimiter) Begin() bool {
	if l.running.Add(1) <= maxConcurrentPulls {
		return true
	}
	l.running.Add(-1)
	return false
}

// End records that a pull was served.
func (l *PullLimiter) End() {
	l.running.Add(-1)
}

// AllowWhole reports whether a whole document may be sent at the time t. If so, it
// takes a token from the bucket.
func (l *PullLimiter) AllowWhole(t time.Time) bool {
	return l.wholeDocuments.AllowN(t, 1)
}
