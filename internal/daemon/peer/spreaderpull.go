package peer

import (
	"context"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

func (s *Spreader) wakePull() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pullLoop pulls what other daemons have and this one lacks.
func (s *Spreader) pullLoop(c context.Context) error {
	for {
		select {
		case <-c.Done():
			return nil
		case <-s.wake:
		}
		s.catchUp(c)
	}
}

// catchUp pulls until nothing newer is known of.
func (s *Spreader) catchUp(c context.Context) {
	for c.Err() == nil && s.plan.Pending(s.versions()) {
		n, d, o := s.plan.Next(s.versions(), s.clock.Now())
		if !o {
			_ = lavenderridge.Sleep(c, pullRetry)
			continue
		}
		if v := s.neighbourhood.Instance(n); v != nil {
			s.pull(c, v, d)
		} else {
			s.plan.Failed(n, false, s.clock.Now())
		}
	}
}

// pull fetches the document d from v, and the whole of it when the delta is of
// no use.
func (s *Spreader) pull(c context.Context, v *lavenderridge.Instance, d lavenderridge.DocumentName) {
	h := s.store.Acceptance(d).Stamp
	p, e := s.fetch(c, v, d, h)
	if e == nil && p.Delta != nil {
		s.count(CounterPullDelta)
		if _, x := s.acceptor.OfferPulled(d, lavenderridge.Origin(v.ID), p); x == nil {
			return
		}
		p, e = s.fetch(c, v, d, lavenderridge.Stamp{})
	}
	if e != nil || p.Whole == nil {
		s.plan.Failed(v.ID, e == nil && p.Busy, s.clock.Now())
		return
	}
	s.count(CounterPullWhole)
	if w, _ := s.acceptor.OfferPulled(d, lavenderridge.Origin(v.ID), p); w == configservice.OfferRejected {
		s.plan.Failed(v.ID, false, s.clock.Now())
	}
}

func (s *Spreader) fetch(c context.Context, v *lavenderridge.Instance, d lavenderridge.DocumentName, h lavenderridge.Stamp) (*lavenderridge.PullReply, error) {
	c, f := context.WithTimeout(c, pullTimeout)
	defer f()
	p, e := s.dialer.Dial(v).Pull(c, &lavenderridge.PullRequest{Sender: s.sender(), Name: d, Have: h})
	if e != nil {
		return nil, e
	}
	s.plan.MessageReceived(p.Sender, s.versions())
	return p, nil
}

// beatInterval is far below the gap that counts as a pause.
const beatInterval = 250 * time.Millisecond

// beatLoop notices pauses of the process.
func (s *Spreader) beatLoop(c context.Context) error {
	for lavenderridge.Sleep(c, beatInterval) == nil {
		s.gate.Heartbeat(s.clock.Now())
		s.tellLeaving(c)
	}
	return nil
}

// tellLeaving tells the neighbours once that the daemon takes no new work.
func (s *Spreader) tellLeaving(c context.Context) {
	if s.leaving() && s.told.CompareAndSwap(false, true) {
		s.callAll(c, s.neighbourhood.Reachable(s.clock.Now()), CounterLeaving)
	}
}
