package peer

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	minAskPause = 50 * time.Millisecond
	maxAskPause = 30 * time.Second
)

// An AskPlan spaces out the requests to instances that do not answer, so that
// a listed instance that is gone costs little: a connection that is tried in
// vain sends several full packets. The pause doubles with each failure and ends
// when the instance is heard of. It is not safe for concurrent use.
type AskPlan struct {
	silent map[lavenderridge.InstanceID]askPause
}

type askPause struct {
	length time.Duration
	until  time.Time
}

// NewAskPlan returns a plan in which no instance has failed.
func NewAskPlan() *AskPlan {
	return &AskPlan{silent: make(map[lavenderridge.InstanceID]askPause)}
}

// Due returns those of the instances l that may be asked at t.
func (p *AskPlan) Due(l []lavenderridge.InstanceID, t time.Time) []lavenderridge.InstanceID {
	var a []lavenderridge.InstanceID
	for _, n := range l {
		if !t.Before(p.silent[n].until) {
			a = append(a, n)
		}
	}
	return a
}

// Failed tells that the instance n did not answer by t. The pause is spread by
// r, from 0 to 1.
func (p *AskPlan) Failed(n lavenderridge.InstanceID, t time.Time, r float64) {
	d := min(max(minAskPause, 2*p.silent[n].length), maxAskPause)
	p.silent[n] = askPause{length: d, until: t.Add(d/2 + time.Duration(r*float64(d)))}
}

// Heard tells that the instance n answered or called.
func (p *AskPlan) Heard(n lavenderridge.InstanceID) {
	delete(p.silent, n)
}

// Keep drops what is known of instances outside l.
func (p *AskPlan) Keep(l []lavenderridge.InstanceID) {
	m := make(map[lavenderridge.InstanceID]askPause, len(p.silent))
	for _, n := range l {
		if v, o := p.silent[n]; o {
			m[n] = v
		}
	}
	p.silent = m
}
