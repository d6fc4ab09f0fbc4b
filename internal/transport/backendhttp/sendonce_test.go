package backendhttp_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

// lostAnswers is a backend server that closes the connections of requests to /lost
// after it has read them, and answers the others.
type lostAnswers struct {
	*rawServer
	lost atomic.Int64 // requests to /lost that were read
}

func newLostAnswers(t *testing.T) *lostAnswers {
	s := &lostAnswers{}
	s.rawServer = newRawServer(t, func(_ int64, c net.Conn, q *http.Request) bool {
		if q.URL.Path == "/lost" {
			s.lost.Add(1)
			return false
		}
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	return s
}

// send sends a request over a kept connection, while another one is idle, and returns how
// often it arrived and what the caller is told.
func (s *lostAnswers) send(t *testing.T, b *backendhttp.Client, m, body, field string) string {
	warm := make(chan error, 2)
	for range cap(warm) {
		go func() {
			_, e := b.Handle(t.Context(), request(http.MethodGet, ""))
			warm <- e
		}()
	}
	for range cap(warm) {
		if e := <-warm; e != nil {
			t.Fatal(e)
		}
	}
	r := request(m, body)
	r.Path, r.Header = "/lost", lavenderridge.Header{}
	if field != "none" {
		r.Header[field] = []string{"order-1"}
	}
	n := s.lost.Load()
	_, e := b.Handle(t.Context(), r)
	if e == nil {
		return fmt.Sprintf("arrived %d times, answered", s.lost.Load()-n)
	}
	f := lavenderridge.AsRefusal(e)
	return fmt.Sprintf("arrived %d times, refused %s %s", s.lost.Load()-n, f.Outcome, f.Reason)
}

// TestLostAnswerIsNotRepeated guards against a request that runs twice because the HTTP
// library repeats it by itself when a kept connection closes without an answer.
func TestLostAnswerIsNotRepeated(t *testing.T) {
	s := newLostAnswers(t)
	b := newClient(t, s.address(), 500)
	datadriven.RunTest(t, "testdata/lostanswers", func(t *testing.T, d *datadriven.TestData) string {
		var m, bodies, fields []string
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "methods":
				m = a.Vals
			case "bodies":
				bodies = a.Vals
			case "fields":
				fields = a.Vals
			}
		}
		var w strings.Builder
		for _, v := range m {
			for _, x := range bodies {
				for _, f := range fields {
					fmt.Fprintf(&w, "%s body=%s field=%s: %s\n", v, x, f, s.send(t, b, v, strings.TrimPrefix(x, "none"), f))
				}
			}
		}
		return w.String()
	})
}

// TestStatusOutOfRange guards against a status that ends the connection of the caller,
// because no server can send it on.
func TestStatusOutOfRange(t *testing.T) {
	for _, n := range []string{"099", "000", "007"} {
		s := newRawServer(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s odd\r\nContent-Length: 0\r\n\r\n", n)
			return true
		})
		_, e := newClient(t, s.address(), 10).Handle(t.Context(), request(http.MethodPost, "x"))
		checkRefusal(t, e, lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse)
	}
}
