package datacentre

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
)

const slots lavenderridge.Slots = 10

// coldServer is a backend server that can be replaced by one in a cold start.
type coldServer struct {
	instance lavenderridge.Instance
	plan     Plan
	current  atomic.Pointer[backendserver.Server]
}

var _ http.Handler = (*coldServer)(nil)

func newColdServer(n lavenderridge.Instance, p Plan) *coldServer {
	s := &coldServer{instance: n, plan: p}
	s.current.Store(backendserver.NewServer(n.ID, slots, p.ServiceTime))
	return s
}

// ServeHTTP implements http.Handler.
func (s *coldServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.current.Load().ServeHTTP(w, q)
}

// restart puts a server in a cold start in the place of the current one.
func (s *coldServer) restart() {
	o := backendserver.WithColdStart(s.plan.ColdSlots, s.plan.ColdTime, backendserver.FailureErrors)
	s.current.Store(backendserver.NewServer(s.instance.ID, slots, s.plan.ServiceTime, o))
}

// begunAfter counts the requests that began after t.
func (s *coldServer) begunAfter(t time.Time) int {
	n := 0
	for _, r := range s.current.Load().Record() {
		if r.Begun.After(t) {
			n++
		}
	}
	return n
}
