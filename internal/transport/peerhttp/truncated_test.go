package peerhttp

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	standin "github.com/lavenderridge/lavenderridge/internal/standin/link"
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
			p, e := callHandler(t, func(w http.ResponseWriter, q *http.Request, _ *standin.TCP) {
				if _, e := receive(q.Body, q.ContentLength, defaultMaxMessage, unbounded); e != nil {
					t.Error(e)
				}
				writeHalf(t, w, c.end)
			}, &lavenderridge.Request{ID: "r", Attempt: 1})
			if v := lavenderridge.AsRefusal(e); e == nil || v.Outcome != lavenderridge.OutcomeUnknown || v.Reason != c.want {
				t.Errorf("response %+v, error %v; want Unknown %s", p, e, c.want)
			}
		})
	}
}

// The connection is reset while the body of the call is being written. The peer has sent
// half of its reply before it has read the call.
func TestResetDuringCall(t *testing.T) {
	for i := range 4 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			p, e := callHandler(t, func(w http.ResponseWriter, _ *http.Request, k *standin.TCP) {
				writeHalf(t, w, k.Reset)
			}, &lavenderridge.Request{ID: "r", Attempt: 1, Body: make([]byte, 4<<20)})
			if e == nil {
				t.Errorf("response %+v; want a refusal", p)
			}
		})
	}
}

// callHandler sends r to another daemon, which handles the call with f. The call goes over
// the link that f gets.
func callHandler(t *testing.T, f func(http.ResponseWriter, *http.Request, *standin.TCP), r *lavenderridge.Request) (*lavenderridge.Response, error) {
	t.Helper()
	s := newSession(t)
	u, e := NewTransport("127.0.0.1:0", s.keys("b", s.authority))
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = u.Close() }()
	x, n := context.WithTimeout(context.Background(), 2*time.Second)
	k, e := standin.NewTCP(x, u.Address())
	if e != nil {
		t.Fatal(e)
	}
	h := NewServer(u, &s.peer, func(lavenderridge.ByteCount) {})
	h.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { f(w, q, k) })
	d := make(chan error, 1)
	go func() { d <- h.Serve(x) }()
	p, c := s.client.Dial(&lavenderridge.Instance{ID: "b", Peer: k.Address()}).Handle(x, r)
	n()
	if e := <-d; e != nil {
		t.Error(e)
	}
	k.Wait()
	return p, c
}

// writeHalf writes the first half of a response, then calls end.
func writeHalf(t *testing.T, w http.ResponseWriter, end func()) {
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
