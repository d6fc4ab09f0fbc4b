package configservice

import "time"

const (
	// followFirstWindow spreads the first reads of daemons that start together. A
	// platform whose store serves 20 calls a second for each daemon is asked for at
	// most a quarter of that.
	followFirstWindow = 200 * time.Millisecond
	// followWatchWait is the longest wait of a watch for changes. A watch that
	// returns none does not prove that there are none, so it is renewed well
	// within the time limit for activating a change. A change ends the watches of
	// all readers at the same time; waits of different lengths, from half of this,
	// keep their later ones apart, so that half-open connections delay only some.
	followWatchWait = 2 * time.Second
	// followWatchPause is the pause before each watch. Changes in quick
	// succession are then read with one call.
	followWatchPause = 150 * time.Millisecond
	// followSkipInterval is the time after which a daemon that skipped reading
	// the source decides again.
	followSkipInterval = 250 * time.Millisecond
	// followMaxPeerAge is the time without a message from any neighbour after
	// which a daemon reads the source itself. It corresponds to three missed
	// exchanges.
	followMaxPeerAge = 3 * time.Second
	// followMaxSourceAge is the age of the fleet's last contact with the source
	// from which on every daemon reads it. It corresponds to two failed watches
	// in a row.
	followMaxSourceAge = 6 * time.Second
	// followBackoffBase is doubled with each failure after the first one, which
	// may only mean that the connection was half-open. The result, at most
	// minReadInterval, is the longest pause before a watch is retried.
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
	if s.IsReader {
		p := ReadPlan{Delay: followWatchPause, Wait: scale(s.Revocation.watchWait(followWatchWait), (1+r)/2)}
		if s.Failures > 1 {
			p.Delay = scale(min(followBackoffBase<<min(s.Failures, maxDoublings), minReadInterval), (1+r)/2)
		}
		return p
	}
	if s.HasVersion && s.PeerAge < followMaxPeerAge && s.SourceAge < followMaxSourceAge && !s.Revocation.readsSource(s.CatalogueAge) {
		return ReadPlan{Skip: true, Delay: followSkipInterval}
	}
	return ReadPlan{Delay: scale(s.Revocation.readWindow(s), r)}
}
