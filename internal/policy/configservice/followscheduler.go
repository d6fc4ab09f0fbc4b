package configservice

import "time"

const (
	// followFirstWindow spreads the first reads of daemons that start together. A
	// platform whose store serves 20 calls a second for each daemon is asked for at
	// most a quarter of that.
	followFirstWindow = 200 * time.Millisecond
	// followWatchPause is the pause before each watch. Changes in quick
	// succession are then read with one call.
	followWatchPause = 150 * time.Millisecond
	// followSkipInterval is the longest time after which a daemon that skipped reading
	// the source decides again.
	followSkipInterval = 250 * time.Millisecond
	// followBackoffBase is doubled with each failure after the first one, which
	// may only mean that the connection was half-open. The result, at most
	// ApplyPlan.retryPause, is the longest pause before a watch is retried.
	followBackoffBase = 300 * time.Millisecond
)

// A FollowScheduler decides when a daemon reads a FactSource.
type FollowScheduler struct{}

// Next returns when and how to make the next call in the state s. The random
// number r in [0, 1) spreads the calls of the fleet.
func (FollowScheduler) Next(s ReadState, r float64) ReadPlan {
	if !s.HasInstanceList {
		w := followFirstWindow
		if s.Failures > 0 {
			w = max(w, min(followBackoffBase<<min(s.Failures, maxDoublings), minReadInterval))
		}
		return ReadPlan{Delay: scale(w, r)}
	}
	// A watch that returns no change does not prove that there is none, so it is renewed
	// within the time for changes. A change ends the watches of all readers at the same
	// time; waits of different lengths, from half of this, keep their later ones apart, so
	// that half-open connections delay only some.
	w := scale(s.Revocation.watchWait(s.Apply.watchWait()), (1+r)/2)
	if s.Failures > 0 {
		// A response at once shows the others that there is contact again.
		w = 0
	}
	switch {
	case s.IsReader:
		p := ReadPlan{Delay: followWatchPause, Wait: w}
		if s.Failures > 1 {
			p.Delay = scale(min(followBackoffBase<<min(s.Failures, maxDoublings), s.Apply.retryPause()), (1+r)/2)
		}
		return p
	case !s.stepsIn():
		return ReadPlan{Skip: true, Delay: min(followSkipInterval, s.Apply.stepInAge(s.Rank)-s.FollowAge)}
	case s.Revocation.readsSource(s.CatalogueAge):
		return ReadPlan{Delay: scale(s.Revocation.readWindow(s), r)}
	case !s.HasVersion || s.Failures > 1:
		return ReadPlan{Delay: scale(jitterWindow(meanReadInterval(s.FleetSize), s.Failures), r)}
	}
	return ReadPlan{Delay: scale(s.Apply.stepInWindow(), r), Wait: w}
}
