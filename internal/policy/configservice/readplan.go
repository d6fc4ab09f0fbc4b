package configservice

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// maxSourceRate is the rate of calls that the source can handle.
	maxSourceRate lavenderridge.Rate = 2000
	// maxFleetRate is the share of maxSourceRate that all daemons together may
	// use.
	maxFleetRate = maxSourceRate / 4
	// documentCount is the number of documents that each daemon reads within its
	// share of maxFleetRate.
	documentCount = 2

	// watchWait is the longest wait of a watch at the source for a newer version. A
	// change ends the watches of all readers at the same time; waits of different
	// lengths, from half of this, keep their later ones apart, so that half-open
	// connections delay only some.
	watchWait = 3 * time.Second
	// peerGrace delays the first read of a document, so that neighbours can
	// deliver a version before it.
	peerGrace = time.Second

	// minReadInterval is the shortest mean interval between two reads.
	minReadInterval = time.Second
	// backoffBase is doubled with each failed watch, up to maxBackoff. The
	// result is the longest delay before the next watch.
	backoffBase = 200 * time.Millisecond
	maxBackoff  = 5 * time.Second
	// maxJitterWindow limits the growth of a jitter window after failures.
	maxJitterWindow = 8 * time.Second
	// maxDoublings limits the exponent of each backoff.
	maxDoublings = 5
)

// A ReadPlan is a decision about the next call to the source.
type ReadPlan struct {
	// Skip is true if the source is not to be called now. The caller decides
	// again later.
	Skip bool
	// Delay is the time to wait before the call.
	Delay time.Duration
	// Wait is how long the source may hold the call open until there is a newer
	// version.
	Wait time.Duration
}

// PlanFirstRead returns the plan for a daemon that has no instance list yet, and
// therefore only the assumed fleet size f. The random number r in [0, 1) spreads
// the reads of daemons that start together.
func PlanFirstRead(s ReadState, f int, r float64) ReadPlan {
	w := time.Duration(float64(f) / float64(maxFleetRate) * float64(time.Second))
	if s.Failures > 0 {
		w = jitterWindow(max(w, minReadInterval), s.Failures-1)
	}
	return ReadPlan{Delay: scale(w, r)}
}

// PlanRead returns the plan for the next read of a daemon that has an instance
// list. The random number r in [0, 1) spreads the reads of the fleet.
func PlanRead(s ReadState, r float64) ReadPlan {
	if s.IsReader {
		return ReadPlan{Delay: backoff(s.Failures, r), Wait: scale(s.Revocation.watchWait(watchWait), (1+r)/2)}
	}
	if !s.stepsIn() {
		return ReadPlan{Skip: true}
	}
	if s.HasVersion && s.Failures == 0 && !s.Revocation.readsSource(s.CatalogueAge) {
		w := s.Apply.stepInWindow()
		if !isStandby(s.Rank) {
			w = max(w, 2*fleetInterval(s.FleetSize))
		}
		return ReadPlan{Delay: scale(w, r), Wait: scale(s.Revocation.watchWait(watchWait), (1+r)/2)}
	}
	p := ReadPlan{Delay: scale(s.Revocation.readWindow(s), r)}
	if !s.HasVersion {
		p.Delay += peerGrace
	}
	return p
}

// meanReadInterval returns the mean time between two reads of one document by
// one daemon at which a fleet of f daemons stays within maxFleetRate.
func meanReadInterval(f int) time.Duration {
	return max(minReadInterval, fleetInterval(f))
}

// fleetInterval returns the time between two reads of one document by one daemon at which
// a fleet of f daemons uses all of maxFleetRate.
func fleetInterval(f int) time.Duration {
	s := float64(f) * documentCount / float64(maxFleetRate)
	return time.Duration(s * float64(time.Second))
}

// jitterWindow returns the longest random delay of a read whose mean interval is
// d. It doubles with each of f failures, but is limited so that a daemon soon
// notices when the source is available again.
func jitterWindow(d time.Duration, f int) time.Duration {
	return min(2*d<<min(f, maxDoublings), max(2*d, maxJitterWindow))
}

// backoff returns the delay of a watch after f failures in a row.
func backoff(f int, r float64) time.Duration {
	if f == 0 {
		return 0
	}
	return scale(min(backoffBase<<min(f, maxDoublings), maxBackoff), r)
}

func scale(d time.Duration, r float64) time.Duration {
	return time.Duration(float64(d) * r)
}
