package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// puller holds the state of the pull loop of one document. Each document has a loop of
// its own, so that neither waits while the other is pulled.
type puller struct {
	document  lavenderridge.DocumentName
	scheduler *peer.PullScheduler
	// needed wakes the loop when another daemon has a newer version.
	needed chan struct{}
}

func newPuller(d lavenderridge.DocumentName) *puller {
	return &puller{document: d, scheduler: peer.NewPullScheduler(d), needed: make(chan struct{}, 1)}
}

// wake wakes the pull loop. It does not block.
func (p *puller) wake() {
	select {
	case p.needed <- struct{}{}:
	default:
	}
}

// pullLoop pulls newer versions of the document of p whenever it is woken.
func (s *Gossiper) pullLoop(c context.Context, p *puller) error {
	for {
		select {
		case <-c.Done():
			return nil
		case <-p.needed:
		}
		s.pullPending(c, p)
	}
}

// pullPending pulls until no other daemon is known to have a newer version.
func (s *Gossiper) pullPending(c context.Context, p *puller) {
	for c.Err() == nil && p.scheduler.Pending(s.versions().Of(p.document)) {
		n, o := p.scheduler.Next(s.versions().Of(p.document), s.clock.Now())
		if !o {
			_ = lavenderridge.Sleep(c, pullRetryInterval)
			continue
		}
		if v := s.neighbourhood.Instance(n); v != nil {
			s.pull(c, v, p)
		} else {
			p.scheduler.Failed(n, false, s.clock.Now())
		}
	}
}

// pull fetches a newer version of the document of l from v and offers it to the store.
// It fetches the whole document if the delta is rejected.
func (s *Gossiper) pull(c context.Context, v *lavenderridge.Instance, l *puller) {
	d := l.document
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
		l.scheduler.Failed(v.ID, e == nil && p.Busy, s.clock.Now())
		return
	}
	s.count(CounterPullWhole)
	if w, _ := s.acceptor.OfferPulled(d, lavenderridge.Origin(v.ID), p); w == configservice.OfferRejected {
		l.scheduler.Failed(v.ID, false, s.clock.Now())
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
	s.MessageReceived(p.Sender)
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
