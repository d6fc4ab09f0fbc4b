package peerhttp

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// TestStopWithoutBody checks that a call whose body never arrives completely, as on
// a half-open connection, does not delay the shutdown.
func TestStopWithoutBody(t *testing.T) {
	s := newSession(t)
	n, e := s.client.dial(newLink(s.client, "b", s.serverTransport.Address()), dialTimeout)
	if e != nil {
		t.Fatal(e)
	}
	defer n.close()
	r, w := io.Pipe()
	c, f := context.WithCancel(t.Context())
	q, e := http.NewRequestWithContext(c, http.MethodPost, callURL, r)
	if e != nil {
		t.Fatal(e)
	}
	d := make(chan error, 1)
	go func() {
		p, e := n.http.RoundTrip(q)
		if e == nil {
			_ = p.Body.Close()
		}
		d <- e
	}()
	if _, e := w.Write([]byte{byte(kindHandle)}); e != nil {
		t.Fatal(e)
	}
	time.Sleep(100 * time.Millisecond)
	b := time.Now()
	s.cancelServer()
	s.serveResult <- <-s.serveResult
	if v := time.Since(b); v > shutdownTimeout+time.Second {
		t.Errorf("the shutdown took %s; want at most %s", v, shutdownTimeout+time.Second)
	}
	f()
	if e := <-d; e == nil {
		t.Error("the call without a complete body got a response")
	}
	if p, e := s.client.Dial(&lavenderridge.Instance{ID: "b", Peer: s.serverTransport.Address()}).Handle(t.Context(), &lavenderridge.Request{ID: "r"}); e == nil {
		t.Errorf("response after the shutdown: %+v", p)
	}
}
