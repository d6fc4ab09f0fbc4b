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
	// minLinger is the least time that clients have at the end of a shutdown to receive
	// the last answers.
	minLinger = 500 * time.Millisecond
)

// A Stopper shuts down an HTTP server without interrupting a request or the answer to one.
// Unlike the shutdown of the HTTP library, it does not wait five seconds for
// connections on which no byte has arrived.
type Stopper struct {
	listener *Listener
	mutex    sync.Mutex
	active   map[net.Conn]struct{}
}

// NewStopper returns a Stopper of the server h on the listener l. It replaces the ConnState
// hook of h.
func NewStopper(h *kratoshttp.Server, l *Listener) *Stopper {
	s := &Stopper{listener: l, active: make(map[net.Conn]struct{})}
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
// error and leaves connections with a running request open. Clients that haven't closed
// their side by then are waited for until c is cancelled, or for a short time after that.
func (s *Stopper) Stop(c context.Context, h *kratoshttp.Server) error {
	e := s.closeIdle(c, h)
	x, f := context.WithTimeout(context.WithoutCancel(c), minLinger)
	defer f()
	if t, o := c.Deadline(); o && time.Until(t) > minLinger {
		x = c
	}
	s.listener.lingering.wait(x)
	return e
}

// closeIdle closes the listener of h, and the connections when none of them has a running
// request.
func (s *Stopper) closeIdle(c context.Context, h *kratoshttp.Server) error {
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
