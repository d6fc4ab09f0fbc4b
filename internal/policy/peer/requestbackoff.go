package peer

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	minRequestPause = 50 * time.Millisecond
	maxRequestPause = 30 * time.Second
)

// A RequestBackoff spaces out requests to instances that do not reply, by
// exponential backoff with jitter. It limits the cost of a listed instance that is
// gone, since each failed attempt to connect sends several full packets. It is not
// safe for concurrent use.
type RequestBackoff struct {
	failing map[lavenderridge.InstanceID]requestPause
}

// requestPause is the backoff of one instance: its length before jitter and its
// end.
type requestPause struct {
	length    time.Duration
	notBefore time.Time
}

// NewRequestBackoff returns a backoff in which no instance has failed.
func NewRequestBackoff() *RequestBackoff {
	return &RequestBackoff{failing: make(map[lavenderridge.InstanceID]requestPause)}
}

// Due returns those of the instances l to which a request may be sent at t.
func (p *RequestBackoff) Due(l []lavenderridge.InstanceID, t time.Time) []lavenderridge.InstanceID {
	var a []lavenderridge.InstanceID
	for _, n := range l {
		if !t.Before(p.failing[n].notBefore) {
			a = append(a, n)
		}
	}
	return a
}

// Failed records that the instance n had not replied by t, and doubles its pause.
// The random number r, from 0 to 1, is the jitter: the pause lasts 0.5 to 1.5
// times its length.
func (p *RequestBackoff) Failed(n lavenderridge.InstanceID, t time.Time, r float64) {
	d := min(max(minRequestPause, 2*p.failing[n].length), maxRequestPause)
	p.failing[n] = requestPause{length: d, notBefore: t.Add(d/2 + time.Duration(r*float64(d)))}
}

// MessageReceived ends the pause of the instance n, which replied or sent a
// request, and resets its length.
func (p *RequestBackoff) MessageReceived(n lavenderridge.InstanceID) {
	delete(p.failing, n)
}

// Keep drops the state of instances that are not in l.
func (p *RequestBackoff) Keep(l []lavenderridge.InstanceID) {
	m := make(map[lavenderridge.InstanceID]requestPause, len(p.failing))
	for _, n := range l {
		if v, o := p.failing[n]; o {
			m[n] = v
		}
	}
	p.failing = m
}
