package configservice

import "time"

// DefaultApplyWithin is the time within which a change of the source is in force
// everywhere, unless the settings state another one.
const DefaultApplyWithin = 6 * time.Second

// Shares of the time within which a change must be in force.
const (
	// askApplyShare is the age of the latest word that a daemon follows the source from
	// which on another daemon is asked, and the time for which its reply is waited for.
	askApplyShare = 0.2
	// askApplyPauseShare is the least time between two questions, and askApplyJitterShare
	// the longest random delay of one.
	askApplyPauseShare  = 0.05
	askApplyJitterShare = 0.04
	// standbyShare and stepInShare are the ages of that word from which on a standby
	// and any other daemon follow the source themselves. The rest is for the call and for
	// the spreading of what it brings.
	standbyShare = 0.5
	stepInShare  = 0.7
	// retryShare is the longest pause of a reader before it calls the source again, so that
	// a short failure makes nobody step in.
	retryShare = 0.25
	// stepInWindowShare is the longest random delay of that.
	stepInWindowShare = 0.1
)

// standbysPerDataCentre is the number of instances of each data centre, next in rank to
// the readers, that step in before the others.
const standbysPerDataCentre = 2

// An ApplyPlan decides who reads the source, and when others step in, so that a change is
// in force everywhere within a time. The readers of each data centre follow the source
// always. Every other daemon follows it while it has heard for too long of nobody who
// does: because the readers are gone, because the source refuses them, or because the
// daemon is cut off from the others.
type ApplyPlan struct {
	within time.Duration
}

// NewApplyPlan returns the plan for the time d, or for the default if d is zero.
func NewApplyPlan(d time.Duration) ApplyPlan {
	if d <= 0 {
		d = DefaultApplyWithin
	}
	return ApplyPlan{within: d}
}

// AskDelay returns the time until the daemon next decides whether to ask another one, when
// its latest word that somebody follows the source has the age a. The random number r in
// [0, 1) spreads the calls.
func (p ApplyPlan) AskDelay(a time.Duration, r float64) time.Duration {
	return max(p.share(askApplyShare)-a, p.share(askApplyPauseShare)) + p.share(askApplyJitterShare*r)
}

// AskTimeout returns the longest wait for a reply.
func (p ApplyPlan) AskTimeout() time.Duration {
	return p.share(askApplyShare)
}

// Asks reports whether a daemon asks another one when its latest word that somebody
// follows the source has the age a. The flag i is true for a reader, which follows it
// anyhow.
func (p ApplyPlan) Asks(a time.Duration, i bool) bool {
	return !i && a >= p.share(askApplyShare)
}

// Improves reports whether the age a after a reply shows that the daemon that gave it
// should be asked again.
func (p ApplyPlan) Improves(a time.Duration) bool {
	return a < p.share(standbyShare)
}

// watchWait returns the longest wait of a watch.
func (p ApplyPlan) watchWait() time.Duration {
	return p.within
}

// retryPause returns the longest pause before a reader whose calls fail makes the next one.
func (p ApplyPlan) retryPause() time.Duration {
	return min(p.share(retryShare), minReadInterval)
}

// stepInAge returns the age of the latest word that somebody follows the source from which
// on a daemon with the rank r in its data centre follows it. A negative rank is that of a
// daemon that isn't ranked.
func (p ApplyPlan) stepInAge(r int) time.Duration {
	if isStandby(r) {
		return p.share(standbyShare)
	}
	return p.share(stepInShare)
}

// stepInWindow returns the longest delay of the first call of a daemon that steps in.
func (p ApplyPlan) stepInWindow() time.Duration {
	return p.share(stepInWindowShare)
}

func (p ApplyPlan) share(f float64) time.Duration {
	return scale(p.within, f)
}

func isStandby(r int) bool {
	return r >= readersPerDataCentre && r < readersPerDataCentre+standbysPerDataCentre
}
