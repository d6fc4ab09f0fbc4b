package backendserver_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
)

// slowServer is a backend server that responds to each request after a time.
type slowServer struct {
	bodyServer
	time time.Duration
}

func (s slowServer) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	time.Sleep(s.time)
	return s.bodyServer.Handle(c, r)
}

// TestStandingQueue checks when the queue of an owner stands. It guards against tight
// bounds of waits at a backend server at which nobody has waited: one request that runs
// long keeps no other one from a slot.
func TestStandingQueue(t *testing.T) {
	for _, v := range []struct {
		name     string
		slots    lavenderridge.Slots
		requests int
		gap      time.Duration // between requests
		wait     time.Duration // after the last one
		want     bool
	}{
		{name: "a long run beside free slots", slots: 2, requests: 1, wait: time.Second, want: false},
		{name: "a request that has just begun to wait", slots: 1, requests: 2, gap: time.Second, wait: 100 * time.Millisecond, want: false},
		{name: "requests that wait for long", slots: 1, requests: 3, gap: 100 * time.Millisecond, wait: 300 * time.Millisecond, want: true},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &session{now: time.Now()}
				s.publish(nil, lavenderridge.Service{ID: "billing", Slots: v.slots, Connections: 100, Queue: 10})
				h := backendserver.NewOwnerHandler(s, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} }, slowServer{1, 4 * time.Second},
					backendserver.WithRecorder(s), backendserver.WithListedCapacity(1, 100, 0))
				var g sync.WaitGroup
				for i := range v.requests {
					if i > 0 {
						time.Sleep(v.gap)
					}
					g.Go(func() {
						_, e := h.Handle(t.Context(), &lavenderridge.Request{
							ID: "r", Target: "a", Entry: "read", Service: "billing", Class: lavenderridge.ClassNormal,
							Sender: lavenderridge.Sender{Instance: "b"}, Deadline: time.Now().Add(time.Minute),
						})
						if e != nil {
							t.Error(e)
						}
					})
				}
				time.Sleep(v.wait)
				if o := h.QueueStanding(); o != v.want {
					t.Errorf("standing %t; want %t", o, v.want)
				}
				g.Wait()
				if h.QueueStanding() {
					t.Error("standing after all requests have ended")
				}
			})
		})
	}
}
