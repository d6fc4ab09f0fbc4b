package backendserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
)

// TestShutdownUnderLoad checks that a shutdown takes a bounded time and succeeds
// even if other daemons keep sending requests.
func TestShutdownUnderLoad(t *testing.T) {
	s := &session{}
	h := backendserver.NewOwnerHandler(s, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} }, bodyServer(1))
	h.StopAccepting()
	c, f := context.WithTimeout(t.Context(), 5*time.Second)
	defer f()
	go func() {
		for lavenderridge.Sleep(c, 50*time.Millisecond) == nil {
			if _, e := h.Handle(c, &lavenderridge.Request{ID: "r", Target: "a"}); e == nil {
				t.Error("request succeeded after the shutdown began")
			}
		}
	}()
	b := time.Now()
	if e := h.Drain(c); e != nil {
		t.Error(e)
	}
	if e := h.WaitIdle(c); e != nil {
		t.Error(e)
	}
	if d := time.Since(b); d > 2*time.Second {
		t.Errorf("the shutdown took %s; want 2s at most", d)
	}
}
