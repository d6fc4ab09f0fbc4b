package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// wakePull wakes pullLoop. It does not block.
func (s *Gossiper) wakePull() {
	select {
	case s.pullNeeded <- struct{}{}:
	default:
	}
}

// pullLoop pulls newer versions from other daemons whenever pullNeeded is set.
func (s *Gossiper) pullLoop(c context.Context) error {
	for {
		select {
		case <-c.Done():
			return nil
		case <-s.pullNeeded:
		}
		s.pullPending(c)
	}
}

// pullPending pulls until no other daemon is known to have a newer version.
func (s *Gossiper) pullPending(c context.Context) {
	for c.Err() == nil && s.pullScheduler.Pending(s.versions()) {
		n, d, o := s.pullScheduler.Next(s.versions(), s.clock.Now())
		if !o {
			_ = lavenderridge.Sleep(c, pullRetryInterval)
			continue
		}
		if v := s.neighbourhood.Instance(n); v != nil {
			s.pull(c, v, d)
		} else {
			s.pullScheduler.Failed(n, false, s.clock.Now())
		}
	}
}

// pull fetches a newer version of the document d from v and offers it to the store.
// It fetches the whole document if the delta is rejected.
func (s *Gossiper) pull(c context.Context, v *lavenderridge.Instance, d lavenderridge.DocumentName) {
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
		s.pullScheduler.Failed(v.ID, e == nil && p.Busy, s.clock.Now())
		return
	}
	s.count(CounterPullWhole)
	if w, _ := s.acceptor.OfferPulled(d, lavenderridge.Origin(v.ID), p); w == configservice.OfferRejected {
		s.pullScheduler.Failed(v.ID, false, s.clock.Now())
	}
}

// fetch pulls the document d from v. The stamp h is that of the version to which a
// delta can be applied; without one, v sends the whole document.
func (s *Gossiper) fetch(c context.Context, v *lavenderridge.Instance, d lavenderridge.DocumentName, h lavenderridge.Stamp) (*lavenderridge.PullReply, error) {
	c, f := context.WithTimeout(c, pullTimeout)
	defer f()
	t := s.clock.Now()
	p, e := s.dialer.Dial(v).Pull(c, &lavenderridge.PullRequest{Sender: s.sender(), Name: d, Have: h})
	l := []zap.Field{zap.String("Document", string(d)), zap.String("Origin", string(v.ID)), zap.Int64("LatencyMicroseconds", s.clock.Now().Sub(t).Microseconds())}
	if e != nil {
		s.log.Warn("PullFailed", append(l, zap.Error(e))...)
		return nil, e
	}
	s.log.Info("DocumentPulled", append(l, zap.Uint64("Version", uint64(p.Stamp.Version)), zap.Bool("Busy", p.Busy),
		zap.Int("WholeBytes", len(p.Whole)), zap.Int("DeltaBytes", len(p.Delta)))...)
	s.pullScheduler.MessageReceived(p.Sender, s.versions())
	return p, nil
}

// heartbeatInterval is far below the gap between heartbeats that the gate takes for a
// pause.
const heartbeatInterval = 250 * time.Millisecond

// heartbeatLoop sends heartbeats to the gate, which detects pauses of the process by
// them. It also announces that the daemon is leaving.
func (s *Gossiper) heartbeatLoop(c context.Context) error {
	for lavenderridge.Sleep(c, heartbeatInterval) == nil {
		s.gate.Heartbeat(s.clock.Now())
		s.announceLeaving(c)
	}
	return nil
}

// announceLeaving sends an exchange to the reachable neighbours when the daemon
// accepts no new work. It does so only once.
func (s *Gossiper) announceLeaving(c context.Context) {
	if s.leaving() && s.leavingAnnounced.CompareAndSwap(false, true) {
		s.exchangeWithEach(c, s.neighbourhood.Reachable(s.clock.Now()), CounterLeaving)
	}
}
