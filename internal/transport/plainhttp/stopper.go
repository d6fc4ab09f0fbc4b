package plainhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// stopPeriod is the time between two looks at the active connections.
	stopPeriod = 10 * time.Millisecond
	// stopLooks is how many looks in a row must find no active connection, since
	// the HTTP library tells of a request a moment after its first byte came.
	stopLooks = 3
)

// A Stopper ends an HTTP server without cutting a request. The library's own
// shutdown also waits five seconds for connections on which nothing has come.
type Stopper struct {
	mutex  sync.Mutex
	active map[net.Conn]struct{}
}

// NewStopper returns a stopper of the server h.
func NewStopper(h *kratoshttp.Server) *Stopper {
	s := &Stopper{active: make(map[net.Conn]struct{})}
	h.ConnState = s.track
	return s
}

func (s *Stopper) track(n net.Conn, t http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if t == http.StateActive {
		s.active[n] = struct{}{}
	} else {
		delete(s.active, n)
	}
}

func (s *Stopper) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.active)
}

// Stop takes no more connections and closes the others once no request runs on
// any, or when c ends.
func (s *Stopper) Stop(c context.Context, h *kratoshttp.Server) error {
	x, f := context.WithCancel(c)
	defer f()
	d := make(chan error, 1)
	go func() { d <- h.Stop(x) }()
	t := time.NewTicker(stopPeriod)
	defer t.Stop()
	for n := 0; n < stopLooks; {
		select {
		case e := <-d:
			return e
		case <-t.C:
		}
		if n++; s.count() > 0 {
			n = 0
		}
	}
	f()
	if e := <-d; e != nil && c.Err() != nil {
		return e
	}
	return h.Close()
}
