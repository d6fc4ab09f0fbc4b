package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// maxStartRounds is how often a new daemon queries its neighbours before it uses
	// the versions of the source alone.
	maxStartRounds = 3
	// enoughStartReplies is the number of replies after which a new daemon queries its
	// neighbours no more.
	enoughStartReplies = 2
	// reopenInterval is the wait after a failed attempt to open the gate after a pause.
	reopenInterval = 300 * time.Millisecond
)

// gateLoop opens the gate after the start, and again after each pause of the process.
func (s *Gossiper) gateLoop(c context.Context) error {
	s.openAtStart(c)
	for {
		select {
		case <-c.Done():
			return nil
		case <-s.gate.Closed():
		}
		t := s.clock.Now()
		s.record("GateClosed", "the process was paused")
		for c.Err() == nil && !s.gate.IsOpen() {
			s.tryReopen(c)
		}
		s.record("GateOpened", "reached a neighbour or the source after "+s.clock.Now().Sub(t).Round(time.Millisecond).String())
	}
}

// openAtStart waits for an instance list, queries the neighbours in it for their
// versions and then opens the gate. The daemon accepts no work until it has the
// highest of these versions, and of those that other daemons reported meanwhile, or
// the gate's wait for them has ended.
func (s *Gossiper) openAtStart(c context.Context) {
	for s.store.InstanceList() == nil {
		f := s.store.Changed()
		if s.store.InstanceList() != nil {
			break
		}
		select {
		case <-c.Done():
			return
		case <-f:
		}
	}
	s.neighbourhood.SetList(s.store.InstanceList())
	var w lavenderridge.Versions
	b, a := s.gate.Epoch(), 0
	for i := 0; i < maxStartRounds && a < enoughStartReplies && c.Err() == nil; i++ {
		v, n := s.queryNeighbours(c)
		w = w.Max(v)
		a += n
	}
	s.gate.Open(b, w.Max(s.reportedVersions()), s.clock.Now())
	if a == 0 {
		s.startedAlone.Store(true)
		s.record("StartedFromSourceAlone", "no neighbour replied")
		return
	}
	s.record("StartedWithNeighbours", "neighbours replied")
}

// reportedVersions returns the highest versions in the messages received so far.
func (s *Gossiper) reportedVersions() lavenderridge.Versions {
	var v lavenderridge.Versions
	for _, p := range s.pullers {
		v = v.With(p.document, p.scheduler.HighestReported())
	}
	return v
}

// StartedAlone reports whether no neighbour replied when the daemon started, so that
// it opened the gate with the versions of the source alone.
func (s *Gossiper) StartedAlone() bool {
	return s.startedAlone.Load()
}

// queryNeighbours exchanges versions with every reachable neighbour. It returns the
// highest versions that they have and the number of replies.
func (s *Gossiper) queryNeighbours(c context.Context) (lavenderridge.Versions, int) {
	var w lavenderridge.Versions
	r := s.exchangeWithEach(c, s.neighbourhood.Reachable(s.clock.Now()), CounterGate)
	for _, q := range r {
		w = w.Max(q.Sender.Stamps.Versions())
	}
	return w, len(r)
}

// tryReopen queries the neighbours after a pause. The first reply opens the gate. If
// there is none, tryReopen waits for reopenInterval.
func (s *Gossiper) tryReopen(c context.Context) {
	if _, n := s.queryNeighbours(c); n == 0 {
		_ = lavenderridge.Sleep(c, reopenInterval)
	}
}

// record logs the event n with the reason r and records it as a decision.
func (s *Gossiper) record(n, r string) {
	s.log.Info(n, zap.String("Reason", r))
	if s.recorder != nil {
		s.recorder.Record(lavenderridge.Decision{Time: s.clock.Now(), Event: n, Subject: string(s.self().Instance), Reason: r, Versions: s.versions()})
	}
}
