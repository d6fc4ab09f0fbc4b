package peer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

var errNoDocument = errors.New("peer: the reply has no newer document")

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

// pullPending pulls until no other daemon is known to have a newer version. When a pull
// takes longer than hedgeDelay, it begins another one from a different daemon, and
// further ones after delays that double. Pulls that are still running in the end are
// cancelled.
func (s *Gossiper) pullPending(c context.Context, p *puller) {
	c, f := context.WithCancel(c)
	var g errgroup.Group
	g.SetLimit(maxPulls)
	defer func() {
		f()
		_ = g.Wait()
	}()
	h, d := make(chan struct{}, 1), hedgeDelay
	for c.Err() == nil && p.scheduler.Pending(s.versions().Of(p.document)) {
		n, o := p.scheduler.Next(s.versions().Of(p.document), s.clock.Now())
		if !o {
			sleepUntilWoken(c, pullRetryInterval, h)
			continue
		}
		g.Go(func() error {
			defer wake(h)
			s.pull(c, n, p)
			return nil
		})
		if sleepUntilWoken(c, d, h) {
			d = hedgeDelay
		} else {
			d = min(2*d, pullTimeout)
		}
	}
}

// pull pulls a newer version of the document of p from the instance n and offers it to
// the store.
func (s *Gossiper) pull(c context.Context, n lavenderridge.InstanceID, p *puller) {
	v := s.neighbourhood.Instance(n)
	if v == nil {
		p.scheduler.Failed(n, false, s.clock.Now())
		return
	}
	b, e := s.pullDocument(c, v, p.document)
	if e != nil && c.Err() == nil {
		p.scheduler.Failed(n, b, s.clock.Now())
		return
	}
	p.scheduler.Ended(n)
}

// pullDocument fetches a newer version of the document d from v and offers it to the
// store. It fetches the whole document if the delta is rejected, unless the store has
// meanwhile accepted another version, to which the delta can't be applied. The first
// result is true if v was too busy to reply.
func (s *Gossiper) pullDocument(c context.Context, v *lavenderridge.Instance, d lavenderridge.DocumentName) (bool, error) {
	h := s.store.Acceptance(d).Stamp
	p, e := s.fetch(c, v, d, h)
	if e == nil && p.Delta != nil {
		s.count(CounterPullDelta)
		if _, x := s.acceptor.OfferPulled(d, lavenderridge.Origin(v.ID), p); x == nil || s.store.Acceptance(d).Stamp != h {
			return false, nil
		}
		p, e = s.fetch(c, v, d, lavenderridge.Stamp{})
	}
	switch {
	case e != nil:
		return false, e
	case p.Whole == nil:
		return p.Busy, errNoDocument
	}
	s.count(CounterPullWhole)
	if w, x := s.acceptor.OfferPulled(d, lavenderridge.Origin(v.ID), p); w == configservice.OfferRejected {
		return false, x
	}
	return false, nil
}

// fetch pulls the document d from v. The stamp h is that of the version to which a
// delta can be applied; without one, v sends the whole document.
func (s *Gossiper) fetch(c context.Context, v *lavenderridge.Instance, d lavenderridge.DocumentName, h lavenderridge.Stamp) (*lavenderridge.PullReply, error) {
	x, f := context.WithTimeout(c, pullTimeout)
	defer f()
	t := s.clock.Now()
	p, e := s.dialer.Dial(v).Pull(x, &lavenderridge.PullRequest{Sender: s.sender(), Name: d, Have: h})
	l := []zap.Field{zap.String("Document", string(d)), zap.String("Origin", string(v.ID)), zap.Int64("LatencyMicroseconds", s.clock.Now().Sub(t).Microseconds())}
	if e != nil {
		if c.Err() == nil {
			s.log.Warn("PullFailed", append(l, zap.Error(e))...)
		}
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
