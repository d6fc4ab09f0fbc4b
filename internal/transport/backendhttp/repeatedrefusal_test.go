package backendhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

const refusedHeader = "X-Refused"

// refusingProtocol recognises responses by their request ID, and refusals by
// refusedHeader.
type refusingProtocol struct{ backendhttp.Protocol }

func (refusingProtocol) Matches(r *lavenderridge.Request, h lavenderridge.Header) bool {
	return http.Header(h).Get(backendhttp.RequestIDHeader) == string(r.ID)
}

func (refusingProtocol) NotRun(_ int, h lavenderridge.Header) (lavenderridge.Reason, bool) {
	return lavenderridge.ReasonOverloaded, http.Header(h).Get(refusedHeader) != ""
}

// repeatingServer refuses the first request. On a connection on which it has refused
// a request, it writes that refusal once more before the response to the next one.
type repeatingServer struct {
	listener net.Listener
	delay    time.Duration // before the repeated refusal
	requests atomic.Int64
	opened   atomic.Int64
}

func newRepeatingServer(t *testing.T, d time.Duration) *repeatingServer {
	t.Helper()
	s := &repeatingServer{delay: d}
	s.listener = acceptEach(t, func(c net.Conn) {
		s.opened.Add(1)
		s.serve(c)
	})
	return s
}

func (s *repeatingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	refusal := ""
	for b := bufio.NewReader(c); ; {
		q, e := http.ReadRequest(b)
		if e != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		i := q.Header.Get(backendhttp.RequestIDHeader)
		if s.requests.Add(1) == 1 {
			refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", backendhttp.RequestIDHeader, i, refusedHeader)
			_, _ = io.WriteString(c, refusal)
			continue
		}
		if refusal != "" {
			time.Sleep(s.delay)
			_, _ = io.WriteString(c, refusal)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", backendhttp.RequestIDHeader, i)
	}
}

// The refusal of the first attempt arrives once more while the second attempt runs.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for _, d := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(d.String(), func(t *testing.T) {
			s := newRepeatingServer(t, d)
			b := newClient(t, lavenderridge.Address(s.listener.Addr().String()), 10, backendhttp.WithProtocol(refusingProtocol{}))
			r := request("POST", "x")
			r.ID = "r-1"
			_, e := b.Handle(t.Context(), r)
			checkRefusal(t, e, lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded)
			r.Attempt++
			p, e := b.Handle(t.Context(), r)
			if e != nil || string(p.Body) != "ok" {
				t.Errorf("second attempt, which runs: %v, %v", p, e)
			}
		})
	}
}

// Requests with other IDs use the connection of a refusal.
func TestRefusalKeepsTheConnection(t *testing.T) {
	s := newRepeatingServer(t, 0)
	b := newClient(t, lavenderridge.Address(s.listener.Addr().String()), 10, backendhttp.WithProtocol(refusingProtocol{}))
	for i := range 2 {
		r := request("POST", "x")
		r.ID = lavenderridge.RequestID(fmt.Sprintf("r-%d", i))
		_, _ = b.Handle(t.Context(), r)
	}
	if n := s.opened.Load(); n != 1 {
		t.Errorf("%d connections; want 1", n)
	}
}
