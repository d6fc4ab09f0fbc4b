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
	// pollInterval is the time between two checks for active connections.
	pollInterval = 10 * time.Millisecond
	// idlePolls is how many consecutive checks must find no active connection,
	// since the HTTP library reports a connection as active only shortly after
	// the first byte of a request has arrived.
	idlePolls = 3
)

// A Stopper shuts down an HTTP server without interrupting a request. Unlike
// the shutdown of the HTTP library, it does not wait five seconds for
// connections on which no byte has arrived.
type Stopper struct {
	mutex  sync.Mutex
	active map[net.Conn]struct{}
}

// NewStopper returns a Stopper of the server h. It replaces the ConnState hook
// of h.
func NewStopper(h *kratoshttp.Server) *Stopper {
	s := &Stopper{active: make(map[net.Conn]struct{})}
	h.ConnState = s.track
	return s
}

func (s *Stopper) track(n net.Conn, t http.ConnState) {
	ConnState(n, t)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if t == http.StateActive {
		s.active[n] = struct{}{}
	} else {
		delete(s.active, n)
	}
}

func (s *Stopper) activeCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.active)
}

// Stop closes the listener of h, waits until no connection has a running
// request, and closes all connections. If c is cancelled first, it returns an
// error and leaves connections with a running request open.
func (s *Stopper) Stop(c context.Context, h *kratoshttp.Server) error {
	x, f := context.WithCancel(c)
	defer f()
	d := make(chan error, 1)
	go func() { d <- h.Stop(x) }()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for n := 0; n < idlePolls; {
		select {
		case e := <-d:
			return e
		case <-t.C:
		}
		if n++; s.activeCount() > 0 {
			n = 0
		}
	}
	f()
	if e := <-d; e != nil && c.Err() != nil {
		return e
	}
	return h.Close()
}
