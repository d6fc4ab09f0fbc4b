package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// startRounds bounds how often a new daemon asks its neighbours before it
	// goes by the source alone.
	startRounds = 3
	// startWanted is the number of answers that a new daemon waits for.
	startWanted = 2
	// reopenInterval is the time between tries to open the gate after a pause.
	reopenInterval = 300 * time.Millisecond
)

// gateLoop opens the gate after the start, and again after each pause.
func (s *Spreader) gateLoop(c context.Context) error {
	s.start(c)
	for {
		select {
		case <-c.Done():
			return nil
		case <-s.gate.Closed():
		}
		t := s.clock.Now()
		s.record("GateClosed", "the process was paused")
		for c.Err() == nil && !s.gate.IsOpen() {
			s.reopen(c)
		}
		s.record("GateOpened", "contact after "+s.clock.Now().Sub(t).Round(time.Millisecond).String())
	}
}

// start waits for an instance list and asks the neighbours in it for their
// versions before the daemon takes work.
func (s *Spreader) start(c context.Context) {
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
	for i := 0; i < startRounds && a < startWanted && c.Err() == nil; i++ {
		v, n := s.ask(c)
		w = w.Max(v)
		a += n
	}
	s.gate.Open(b, w, s.clock.Now())
	if a == 0 {
		s.alone.Store(true)
		s.record("StartedFromSourceAlone", "no neighbour answered")
		return
	}
	s.record("StartedWithNeighbours", "neighbours answered")
}

// StartedAlone reports whether no neighbour answered when the daemon started,
// so that it went by the source alone.
func (s *Spreader) StartedAlone() bool {
	return s.alone.Load()
}

// ask exchanges versions with every neighbour. It returns the highest versions
// and the number of answers.
func (s *Spreader) ask(c context.Context) (lavenderridge.Versions, int) {
	var w lavenderridge.Versions
	r := s.callAll(c, s.neighbourhood.Reachable(s.clock.Now()), CounterGate)
	for _, q := range r {
		w = w.Max(q.Sender.Stamps.Versions())
	}
	return w, len(r)
}

// reopen asks the neighbours after a pause. The first that answers opens the
// gate.
func (s *Spreader) reopen(c context.Context) {
	if _, n := s.ask(c); n == 0 {
		_ = lavenderridge.Sleep(c, reopenInterval)
	}
}

func (s *Spreader) record(n, r string) {
	s.log.Info(n, zap.String("Reason", r))
	if s.recorder != nil {
		s.recorder.Record(lavenderridge.Decision{Time: s.clock.Now(), Event: n, Subject: string(s.self().Instance), Reason: r, Versions: s.versions()})
	}
}
