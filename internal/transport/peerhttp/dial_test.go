package peerhttp

import (
	"errors"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A call must not fail with a dial that began before it, perhaps before the peer came
// back: it makes a dial of its own.
func TestCallOutlivesFailedOlderDial(t *testing.T) {
	s := newSession(t)
	l := s.client.Dial(&lavenderridge.Instance{ID: "b", Peer: s.link.Address()}).(*link)
	d := newDial()
	l.pendingDial.Store(d)
	r := make(chan error, 1)
	go func() {
		_, e := l.Handle(t.Context(), &lavenderridge.Request{ID: "r", Attempt: 1, Path: "0s"})
		r <- e
	}()
	s.waitFor(func() bool { return l.runningCalls.Load() == 1 })
	time.Sleep(20 * time.Millisecond) // until the call waits for the dial
	l.pendingDial.Store(nil)
	d.finish(nil, errors.New("scripted"))
	if e := <-r; e != nil {
		t.Errorf("the call failed with the older dial: %v", e)
	}
}

// A call to a peer that stays silent must fail after connectWait, also if it shares
// a dial that fails earlier.
func TestConnectWaitBoundsCall(t *testing.T) {
	s := newSession(t)
	s.link.Cut(true)
	defer s.link.Cut(false)
	l := s.client.Dial(&lavenderridge.Instance{ID: "b", Peer: s.link.Address()}).(*link)
	d := newDial()
	l.pendingDial.Store(d)
	time.AfterFunc(connectWait/2, func() {
		l.pendingDial.Store(nil)
		d.finish(nil, errors.New("scripted"))
	})
	b := time.Now()
	_, e := l.Handle(t.Context(), &lavenderridge.Request{ID: "r", Attempt: 1, Path: "0s"})
	if v := time.Since(b); v < connectWait || v > 2*connectWait {
		t.Errorf("the call took %s; want %s", v, connectWait)
	}
	if f := lavenderridge.AsRefusal(e); f.Outcome != lavenderridge.OutcomeNotRun || f.Reason != lavenderridge.ReasonUnreachable {
		t.Errorf("got %s %s", f.Outcome, f.Reason)
	}
}
