package peerhttp

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// TestTruncatedReply checks that a truncated reply is never treated as complete,
// whether the server resets its stream or ends it normally.
func TestTruncatedReply(t *testing.T) {
	for n, c := range map[string]struct {
		end  func()
		want lavenderridge.Reason
	}{
		"reset":  {func() { panic(http.ErrAbortHandler) }, lavenderridge.ReasonConnectionLost},
		"closed": {func() {}, lavenderridge.ReasonBadResponse},
	} {
		t.Run(n, func(t *testing.T) {
			s := newSession(t)
			u, e := NewTransport("127.0.0.1:0", s.keys("b", s.authority))
			if e != nil {
				t.Fatal(e)
			}
			defer func() { _ = u.Close() }()
			h := NewServer(u, &s.peer, func(lavenderridge.ByteCount) {})
			h.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { writeHalf(t, w, q, c.end) })
			d := make(chan error, 1)
			x, f := context.WithTimeout(context.Background(), 2*time.Second)
			go func() { d <- h.Serve(x) }()
			p, e := s.client.Dial(&lavenderridge.Instance{ID: "b", Peer: u.Address()}).Handle(x, &lavenderridge.Request{ID: "r", Attempt: 1})
			if v := lavenderridge.AsRefusal(e); e == nil || v.Outcome != lavenderridge.OutcomeUnknown || v.Reason != c.want {
				t.Errorf("response %+v, error %v; want Unknown %s", p, e, c.want)
			}
			f()
			if e := <-d; e != nil {
				t.Error(e)
			}
		})
	}
}

// writeHalf writes the first half of a response to one call, then calls end.
func writeHalf(t *testing.T, w http.ResponseWriter, q *http.Request, end func()) {
	if _, e := receive(q.Body, q.ContentLength, defaultMaxMessage, unbounded); e != nil {
		t.Error(e)
	}
	b, e := encode(byte(statusReply), newWireResponse(&lavenderridge.Response{ID: "r", Attempt: 1, Status: 200, Body: make([]byte, 100)}))
	if e != nil {
		t.Error(e)
	}
	if _, e := w.Write(b[:len(b)/2]); e != nil {
		t.Error(e)
	}
	if e := http.NewResponseController(w).Flush(); e != nil {
		t.Error(e)
	}
	end()
}
