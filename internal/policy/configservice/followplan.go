package configservice

import "time"

const (
	// factWait is how long one watch waits. A watch that says nothing proves
	// nothing, so that it is renewed well within the time in which a change
	// must be in force.
	factWait = 2 * time.Second
	// factPause follows each watch, so that changes in quick succession cost
	// one call.
	factPause = 150 * time.Millisecond
	// followInterval is the time after which a daemon that leaves the source
	// alone decides again.
	followInterval = 250 * time.Millisecond
	// followPeerAge is the age of the last word of a neighbour from which on a
	// daemon reads the source itself: three exchanges were missed.
	followPeerAge = 3 * time.Second
	// followSourceAge is the age of the fleet's last contact with the source
	// from which on every daemon reads it: two watches in a row have failed.
	followSourceAge = 6 * time.Second
	// retryPause bounds the pause after a first failure.
	retryPause = 300 * time.Millisecond
)

// A FollowPlan decides when a daemon reads a FactSource.
type FollowPlan struct{}

// Next decides on the next call in the state s. The number r is random in
// [0, 1).
func (FollowPlan) Next(s ReadState, r float64) ReadPlan {
	if !s.Listed {
		w := time.Duration(float64(s.Fleet) / float64(fleetRate) * float64(time.Second))
		if s.Failures > 0 {
			w = max(w, min(retryPause<<min(s.Failures, maxDoublings), minReadInterval))
		}
		return ReadPlan{Delay: scale(w, r)}
	}
	if s.Reads {
		p := ReadPlan{Delay: factPause, Wait: factWait}
		if s.Failures > 0 {
			p.Delay = scale(min(retryPause<<min(s.Failures, maxDoublings), minReadInterval), (1+r)/2)
		}
		return p
	}
	if s.Holds && s.PeerAge < followPeerAge && s.SourceAge < followSourceAge {
		return ReadPlan{Skip: true, Delay: followInterval}
	}
	return ReadPlan{Delay: scale(spread(shareInterval(s.Fleet), s.Failures), r)}
}
