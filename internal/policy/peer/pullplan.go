package peer

import (
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// maxHolders bounds the daemons that a pull plan remembers.
	maxHolders = 64
	// maxPullFailures is the number of failed pulls after which a daemon is
	// forgotten until it is heard of again.
	maxPullFailures = 5
	// failedPause is how long a daemon whose pull failed is passed over.
	failedPause = 2 * time.Second
	// busyPause is how long a busy daemon is passed over.
	busyPause = 150 * time.Millisecond
)

// A PullPlan remembers who has a higher version of a document than this
// daemon, and decides from whom to pull.
type PullPlan struct {
	mutex   sync.Mutex
	holders map[lavenderridge.InstanceID]*pullHolder
}

// pullHolder is a daemon that has something newer.
type pullHolder struct {
	stamps   lavenderridge.Stamps
	until    time.Time
	failures int
}

// NewPullPlan returns a plan that knows nobody.
func NewPullPlan() *PullPlan {
	return &PullPlan{holders: make(map[lavenderridge.InstanceID]*pullHolder)}
}

// Heard takes in the stamps of the sender s. It reports whether one of them is
// above the versions h.
func (p *PullPlan) Heard(s lavenderridge.Sender, h lavenderridge.Versions) bool {
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

// Next returns the document to pull and the instance to pull it from, given
// the versions h in force. It reports false when there is nothing to pull now.
func (p *PullPlan) Next(h lavenderridge.Versions, t time.Time) (lavenderridge.InstanceID, lavenderridge.DocumentName, bool) {
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
		if t.Before(v.until) {
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

// Failed passes over the instance n for a while after the time t, and forgets
// it after several failures. The flag s says that it was only busy.
func (p *PullPlan) Failed(n lavenderridge.InstanceID, s bool, t time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v, o := p.holders[n]
	if !o {
		return
	}
	if s {
		v.until = t.Add(busyPause)
		return
	}
	v.until = t.Add(failedPause)
	if v.failures++; v.failures == maxPullFailures {
		delete(p.holders, n)
	}
}

// Waiting reports whether some daemon has something newer than h, be it passed
// over for now or not.
func (p *PullPlan) Waiting(h lavenderridge.Versions) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, v := range p.holders {
		if !h.Covers(v.stamps.Versions()) {
			return true
		}
	}
	return false
}
