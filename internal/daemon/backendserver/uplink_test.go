package backendserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
)

// bodyServer is a backend server that responds to every request immediately, with
// a body of that many bytes.
type bodyServer int

func (b bodyServer) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	return &lavenderridge.Response{ID: r.ID, Attempt: r.Attempt, Status: 200, Body: make([]byte, b)}, nil
}

func (bodyServer) Probe(context.Context) (lavenderridge.Health, error) {
	return lavenderridge.Health{Ready: true}, nil
}

func (b bodyServer) Recheck(c context.Context) (lavenderridge.Health, error) { return b.Probe(c) }

func (bodyServer) Close() error { return nil }

// TestLinkAdmission checks that the owner refuses a request whose large response
// the machine's link would send after the objective, and that requests which came
// through the same daemon are not refused for the link.
func TestLinkAdmission(t *testing.T) {
	const size = 90_000
	s := &session{now: time.Unix(0, 0)}
	s.publish(nil, lavenderridge.Service{ID: "billing", Slots: 10, Connections: 100, Queue: 10})
	// A link of 8 Mbit/s sends responses at 900 kB/s.
	h := backendserver.NewOwnerHandler(s, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} }, bodyServer(size),
		backendserver.WithClock(s), backendserver.WithRecorder(s), backendserver.WithListedCapacity(1, 0, 8_000_000))
	send := func(n lavenderridge.InstanceID) error {
		_, e := h.Handle(t.Context(), &lavenderridge.Request{
			ID: "r", Target: "a", Entry: "read", Service: "billing", Sender: lavenderridge.Sender{Instance: n},
			Objective: s.now.Add(500 * time.Millisecond), Deadline: s.now.Add(2 * time.Second),
		})
		return e
	}
	for i := range 5 {
		if e := send("b"); e != nil {
			t.Errorf("request %d: %v", i, e)
		}
	}
	if d := h.Load("billing").Backlog; d != 500*time.Millisecond {
		t.Errorf("backlog %s; want 500ms", d)
	}
	f := lavenderridge.AsRefusal(send("b"))
	if f == nil || f.Outcome != lavenderridge.OutcomeNotRun || f.Reason != lavenderridge.ReasonOverloaded || f.RetryAfter < 50*time.Millisecond {
		t.Fatalf("response that would be sent after 600 ms: %+v", f)
	}
	if e := send("a"); e != nil {
		t.Errorf("response that stays on the machine: %v", e)
	}
	h.ResponseSent(size)
	if e := send("b"); e != nil {
		t.Errorf("after a response was sent: %v", e)
	}
	for range 5 {
		h.ResponseSent(size)
	}
	if d := h.Load("billing").Backlog; d != 0 {
		t.Errorf("backlog %s after all responses were sent; want 0", d)
	}
}
