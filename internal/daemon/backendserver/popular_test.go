package backendserver_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	standin "github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

// TestPopularRequestIsNotRefused restarts a backend server while eight callers
// repeat the same request, which makes it a suspect. As it does not crash the
// backend server, none of the callers may be refused as a suspect: their requests
// must wait for each other instead.
func TestPopularRequestIsNotRefused(t *testing.T) {
	b := standin.NewServer("a", 10, 5*time.Millisecond)
	if e := b.Start(); e != nil {
		t.Fatal(e)
	}
	t.Cleanup(b.Close)
	l, e := backendhttp.NewClient(t.Context(), b.Address(), 130, lavenderridge.Mebibyte)
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &session{now: time.Now()}
	s.publish(nil, lavenderridge.Service{ID: "billing", Slots: 10, Connections: 130, Queue: 20})
	h := backendserver.NewOwnerHandler(s, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} }, l)
	h.Check(t.Context())
	var mutex sync.Mutex
	got := map[string]int{}
	end := time.Now().Add(1500 * time.Millisecond)
	var g sync.WaitGroup
	for i := range 8 {
		g.Go(func() {
			for j := 0; time.Now().Before(end); j++ {
				d := time.Now().Add(2 * time.Second)
				c, f := context.WithDeadline(t.Context(), d)
				r := &lavenderridge.Request{ID: lavenderridge.RequestID(fmt.Sprint(i, j)), Target: "a", Service: "billing", Class: lavenderridge.ClassNormal, Method: http.MethodGet, Path: "/popular", Deadline: d}
				x := "answered"
				if _, e := h.Handle(c, r); e != nil {
					x = string(lavenderridge.AsRefusal(e).Reason)
				}
				f()
				mutex.Lock()
				got[x]++
				mutex.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if e := b.Restart(50 * time.Millisecond); e != nil {
		t.Fatal(e)
	}
	g.Wait()
	if got[string(lavenderridge.ReasonCrashed)] == 0 || got[string(lavenderridge.ReasonSuspectBusy)] > 0 || got[string(lavenderridge.ReasonQuarantined)] > 0 {
		t.Errorf("results %v; want some Crashed and no SuspectBusy or Quarantined", got)
	}
	t.Logf("results %v", got)
}
