package operator

import "time"

const (
	// maxNoticeTime is the time within which callers and other daemons learn of a
	// planned stop: two checks of readiness in a row, one second apart, and the time
	// until they take effect.
	maxNoticeTime = 2200 * time.Millisecond
	// noticeShare is the largest part of the grace time that the notice takes, and
	// exitShare the part that is left for the exit once requests are no longer
	// waited for.
	noticeShare = 0.37
	exitShare   = 0.15
)

// A StopPlan divides the time of a planned stop. The daemon accepts requests for
// Delay, waits up to Timeout for those in flight, and then exits.
type StopPlan struct {
	Delay   time.Duration
	Timeout time.Duration
}

// NewStopPlan returns the plan for a process that is killed the time g after it was
// asked to stop.
func NewStopPlan(g time.Duration) StopPlan {
	d := min(maxNoticeTime, scale(g, noticeShare))
	return StopPlan{Delay: d, Timeout: g - d - scale(g, exitShare)}
}

// Fits reports whether the plan ends within the time g.
func (p StopPlan) Fits(g time.Duration) bool {
	return p.Delay+p.Timeout <= g
}

func scale(d time.Duration, r float64) time.Duration {
	return time.Duration(float64(d) * r).Round(time.Millisecond)
}
