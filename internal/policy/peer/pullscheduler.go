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

// A PullScheduler tracks which daemons have a higher version of a document than
// this one, and selects the daemon to pull from.
type PullScheduler struct {
	mutex   sync.Mutex
	holders map[lavenderridge.InstanceID]*pullHolder
}

// pullHolder is a daemon that has a higher version of a document.
type pullHolder struct {
	stamps    lavenderridge.Stamps
	notBefore time.Time
	failures  int
}

// NewPullScheduler returns a scheduler without any daemons.
func NewPullScheduler() *PullScheduler {
	return &PullScheduler{holders: make(map[lavenderridge.InstanceID]*pullHolder)}
}

// MessageReceived records the stamps in a message of the sender s. It reports
// whether one of them is higher than the versions h of this daemon.
func (p *PullScheduler) MessageReceived(s lavenderridge.Sender, h lavenderridge.Versions) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if h.Covers(s.Stamps.Versions()) {
		delete(p.holders, s.Instance)
		return false
	}
	if v, o := p.holders[s.Instance]; o {
		v.stamps = s.Stamps
	} else if len(p.holders) < maxHolders {
		p.holders[s.Instance] = &pullHolder{stamps: s.Stamps}
	}
	return true
}

// Next returns the document to pull and the instance to pull it from at the time
// t, where h are the versions of this daemon. The instance list comes before the
// catalogue, and the highest version first. The last result is false if there is
// nothing to pull now.
func (p *PullScheduler) Next(h lavenderridge.Versions, t time.Time) (lavenderridge.InstanceID, lavenderridge.DocumentName, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var b lavenderridge.InstanceID
	var d lavenderridge.DocumentName
	var m lavenderridge.Version
	for n, v := range p.holders {
		w := v.stamps.Versions()
		if h.Covers(w) {
			delete(p.holders, n)
			continue
		}
		if t.Before(v.notBefore) {
			continue
		}
		if w.InstanceList > h.InstanceList && (d != lavenderridge.DocumentInstanceList || w.InstanceList > m) {
			b, d, m = n, lavenderridge.DocumentInstanceList, w.InstanceList
		}
		if w.Catalogue > h.Catalogue && d != lavenderridge.DocumentInstanceList && w.Catalogue > m {
			b, d, m = n, lavenderridge.DocumentCatalogue, w.Catalogue
		}
	}
	return b, d, b != ""
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
func (p *PullScheduler) Pending(h lavenderridge.Versions) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, v := range p.holders {
		if !h.Covers(v.stamps.Versions()) {
			return true
		}
	}
	return false
}
