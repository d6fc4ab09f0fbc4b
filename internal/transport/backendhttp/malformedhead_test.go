package backendhttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

// anyEndProtocol is refusingProtocol with responses that end with their connection and
// without request IDs.
type anyEndProtocol struct{ refusingProtocol }

func (anyEndProtocol) AllowsUnframed() bool { return true }

func (anyEndProtocol) Matches(*lavenderridge.Request, lavenderridge.Header) bool { return true }

// TestMalformedHeads guards against a response with a malformed head that reaches the
// caller, is taken for a body that it isn't, or is believed as a refusal or a health check.
func TestMalformedHeads(t *testing.T) {
	datadriven.RunTest(t, "testdata/malformedheads", func(t *testing.T, d *datadriven.TestData) string {
		var good atomic.Bool
		p := unquote(t, d.Input)
		s := newRawServer(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			if good.Load() {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
				return true
			}
			_, _ = io.WriteString(c, p)
			return strings.Contains(p, "Content-Length:") || strings.Contains(p, "204 No Content")
		})
		b := newClient(t, s.address(), 20, backendhttp.WithProtocol(anyEndProtocol{}))
		c, f := context.WithTimeout(t.Context(), 5*time.Second)
		defer f()
		o := fmt.Sprintf("GET: %s\nPOST: %s\n", outcomeOf(b.Handle(c, request("GET", ""))), outcomeOf(b.Handle(c, request("POST", "x"))))
		o += fmt.Sprintf("health checks: %s, %s\n", healthOf(b.Probe(c)), healthOf(b.Recheck(c)))
		good.Store(true)
		return o + fmt.Sprintf("next: %s, %s\n", outcomeOf(b.Handle(c, request("POST", "x"))), healthOf(b.Recheck(c)))
	})
}

func outcomeOf(p *lavenderridge.Response, e error) string {
	if e != nil {
		v := lavenderridge.AsRefusal(e)
		return fmt.Sprintf("%s %s", v.Reason, v.Outcome)
	}
	return fmt.Sprintf("%d %q", p.Status, p.Body)
}

func healthOf(_ lavenderridge.Health, e error) string {
	if e != nil {
		return "failed"
	}
	return "passed"
}

// TestMalformedHeadsBesideOthers guards against requests that fail because they get the
// connection of a response with a malformed head. The HTTP library keeps a connection when
// the head of a response without a body has arrived.
func TestMalformedHeadsBesideOthers(t *testing.T) {
	s := newRawServer(t, func(_ int64, c net.Conn, q *http.Request) bool {
		p := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
		if q.Method == http.MethodDelete {
			p += "X Y: 1\r\n"
		}
		_, _ = io.WriteString(c, p+"\r\n")
		return true
	})
	b := newClient(t, s.address(), 4)
	var g sync.WaitGroup
	for i := range 8 {
		g.Go(func() {
			for range 500 {
				if i%2 == 0 {
					_, e := b.Handle(t.Context(), request(http.MethodDelete, ""))
					checkRefusal(t, e, lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse)
				} else if _, e := b.Handle(t.Context(), request(http.MethodPost, "x")); e != nil {
					t.Error(e)
				}
			}
		})
	}
	g.Wait()
}
