package backendserver_test

import (
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
)

// TestRestartedOwnerKeepsTheReportedLimit guards against a burst at a backend server when
// the daemon beside it has restarted and forgotten the limit that others still know.
func TestRestartedOwnerKeepsTheReportedLimit(t *testing.T) {
	s := &session{now: time.Unix(0, 0)}
	s.publish(nil, lavenderridge.Service{ID: "billing", Slots: 10, Connections: 100, Queue: 10})
	h := backendserver.NewOwnerHandler(s, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} }, bodyServer(1),
		backendserver.WithClock(s), backendserver.WithRecorder(s), backendserver.WithListedCapacity(1, 0, 0))
	send := func(n *lavenderridge.HeardNotice) *lavenderridge.Refusal {
		_, e := h.Handle(t.Context(), &lavenderridge.Request{
			ID: "r", Target: "a", Entry: "read", Service: "billing", Class: lavenderridge.ClassNormal,
			Sender: lavenderridge.Sender{Instance: "b"}, Heard: n, Deadline: s.now.Add(2 * time.Second),
		})
		if e == nil {
			return nil
		}
		return lavenderridge.AsRefusal(e)
	}
	sent := 0
	for range 100 {
		f := send(&lavenderridge.HeardNotice{Notice: lavenderridge.Notice{Limited: true, Limit: 2}, Age: time.Second})
		if f == nil {
			sent++
		} else if f.Outcome != lavenderridge.OutcomeNotRun || f.Reason != lavenderridge.ReasonBackendLimit || f.RetryAfter <= 0 || f.Heard == nil || f.Heard.Limit != 2 || f.Heard.Place != "b" {
			t.Fatalf("refusal %+v, heard %+v", f, f.Heard)
		}
		s.sleep(40 * time.Millisecond)
	}
	if sent < 6 || sent > 9 {
		t.Errorf("%d requests sent in 4 s at a limit of 2 a second; want 6 to 9", sent)
	}
	// A report about an earlier run says nothing about this one.
	h = backendserver.NewOwnerHandler(s, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} }, bodyServer(1),
		backendserver.WithClock(s), backendserver.WithRecorder(s))
	for range 20 {
		if f := send(&lavenderridge.HeardNotice{Notice: lavenderridge.Notice{Limited: true, Limit: 2}, Backend: "i-old"}); f != nil {
			t.Fatalf("refused for the limit of an earlier run: %v", f)
		}
	}
}
