package peer

import (
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// maxHolders is the largest number of daemons that are tracked.
	maxHolders = 64
	// maxPullFailures is the number of failed pulls after which a daemon is
	// dropped until its next message.
	maxPullFailures = 5
	// pullFailurePause is how long no pull is sent to a daemon after a failed one.
	pullFailurePause = 2 * time.Second
	// pullBusyPause is how long no pull is sent to a daemon that was busy.
	pullBusyPause = 150 * time.Millisecond
)

// A PullScheduler tracks which daemons have a higher version of one document than
// this one, and selects the daemon to pull from.
type PullScheduler struct {
	document lavenderridge.DocumentName
	mutex    sync.Mutex
	holders  map[lavenderridge.InstanceID]*pullHolder
	// highestReported is the highest version in any message.
	highestReported lavenderridge.Version
}

// pullHolder is a daemon that has a higher version of the document.
type pullHolder struct {
	version   lavenderridge.Version
	notBefore time.Time
	failures  int
	// pulling is true while a pull from the daemon is running.
	pulling bool
}

// NewPullScheduler returns a scheduler for the document d without any daemons.
func NewPullScheduler(d lavenderridge.DocumentName) *PullScheduler {
	return &PullScheduler{document: d, holders: make(map[lavenderridge.InstanceID]*pullHolder)}
}

// MessageReceived records the version in a message of the sender s. It reports
// whether it is higher than the version h of this daemon.
func (p *PullScheduler) MessageReceived(s lavenderridge.Sender, h lavenderridge.Version) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	w := s.Stamps.Of(p.document).Version
	p.highestReported = max(p.highestReported, w)
	if w <= h {
		delete(p.holders, s.Instance)
		return false
	}
	if v, o := p.holders[s.Instance]; o {
		v.version = w
	} else if len(p.holders) < maxHolders {
		p.holders[s.Instance] = &pullHolder{version: w}
	}
	return true
}

// HighestReported returns the highest version in the messages received so far, or 0.
func (p *PullScheduler) HighestReported() lavenderridge.Version {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.highestReported
}

// Next returns the instance with the highest version from which to pull at the
// time t, where h is the version of this daemon. No pull from it may be running; the
// caller reports the end of the new one by Ended or Failed. The last result is false
// if there is nothing to pull now.
func (p *PullScheduler) Next(h lavenderridge.Version, t time.Time) (lavenderridge.InstanceID, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var b lavenderridge.InstanceID
	m := h
	for n, v := range p.holders {
		switch {
		case v.version <= h:
			delete(p.holders, n)
		case !v.pulling && !t.Before(v.notBefore) && v.version > m:
			b, m = n, v.version
		}
	}
	if v, o := p.holders[b]; o {
		v.pulling = true
	}
	return b, b != ""
}

// Ended records that a pull from the instance n has ended and did not fail.
func (p *PullScheduler) Ended(n lavenderridge.InstanceID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if v, o := p.holders[n]; o {
		v.pulling = false
	}
}

// Failed records that a pull from the instance n failed at the time t. The
// instance is skipped for a while, and dropped after maxPullFailures. If s is
// true, the instance was only busy, which does not count as a failure.
func (p *PullScheduler) Failed(n lavenderridge.InstanceID, s bool, t time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v, o := p.holders[n]
	if !o {
		return
	}
	v.pulling = false
	if s {
		v.notBefore = t.Add(pullBusyPause)
		return
	}
	v.notBefore = t.Add(pullFailurePause)
	if v.failures++; v.failures == maxPullFailures {
		delete(p.holders, n)
	}
}

// Pending reports whether some daemon has a higher version than h, including
// daemons that are skipped for now.
func (p *PullScheduler) Pending(h lavenderridge.Version) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, v := range p.holders {
		if v.version > h {
			return true
		}
	}
	return false
}
