package configservice

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// sourceRate is the rate of calls that the source bears.
	sourceRate lavenderridge.Rate = 2000
	// fleetRate is the part of it that all daemons together may use.
	fleetRate = sourceRate / 4
	// documents is the number of documents that share a daemon's rate.
	documents = 2

	// watchWait is how long one watch waits at the source.
	watchWait = 5 * time.Second
	// maxPeerAge is the age of the last word of a neighbour from which on a
	// daemon reads the source itself.
	maxPeerAge = 4 * time.Second
	// maxSourceAge is the age of the fleet's last contact with the source from
	// which on every daemon reads it.
	maxSourceAge = 30 * time.Second
	// peerGrace is the time that neighbours have to give a first version.
	peerGrace = time.Second

	minReadInterval = time.Second
	minBackoff      = 200 * time.Millisecond
	maxBackoff      = 5 * time.Second
	maxSpread       = 8 * time.Second
	maxDoublings    = 5
)

// A ReadPlan is a decision on one read of a document.
type ReadPlan struct {
	// Skip tells to leave the source alone and to decide again later.
	Skip bool
	// Delay is the time before the call.
	Delay time.Duration
	// Wait is the time for which the call waits for a newer version.
	Wait time.Duration
}

// PlanFirstRead decides on the first read of a daemon that has no instance
// list. The fleet's size is an assumption f then; r is a random number in
// [0, 1).
func PlanFirstRead(s ReadState, f int, r float64) ReadPlan {
	w := time.Duration(float64(f) / float64(fleetRate) * float64(time.Second))
	if s.Failures > 0 {
		w = spread(max(w, minReadInterval), s.Failures-1)
	}
	return ReadPlan{Delay: scale(w, r)}
}

// PlanRead decides on the next read of a daemon with an instance list. The
// number r is random in [0, 1).
func PlanRead(s ReadState, r float64) ReadPlan {
	if s.Reads {
		return ReadPlan{Delay: backoff(s.Failures, r), Wait: watchWait}
	}
	if s.Holds && s.PeerAge < maxPeerAge && s.SourceAge < maxSourceAge {
		return ReadPlan{Skip: true}
	}
	p := ReadPlan{Delay: scale(spread(shareInterval(s.Fleet), s.Failures), r)}
	if !s.Holds {
		p.Delay += peerGrace
	}
	return p
}

// shareInterval returns the mean time between a daemon's reads of one document
// at which the whole fleet stays within its rate.
func shareInterval(f int) time.Duration {
	s := float64(f) * documents / float64(fleetRate)
	return max(minReadInterval, time.Duration(s*float64(time.Second)))
}

// spread returns the time over which to spread a read with the mean interval
// d. After f failures it is longer, but no more than it takes to notice soon
// that the source is back.
func spread(d time.Duration, f int) time.Duration {
	return min(2*d<<min(f, maxDoublings), max(2*d, maxSpread))
}

func backoff(f int, r float64) time.Duration {
	if f == 0 {
		return 0
	}
	return scale(min(minBackoff<<min(f, maxDoublings), maxBackoff), r)
}

func scale(d time.Duration, r float64) time.Duration {
	return time.Duration(float64(d) * r)
}
