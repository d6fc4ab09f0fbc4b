package peerhttp

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// TestReplyThatWaitsIsNotClosed guards against a connection that makes room for another
// one while the reply of a request that has run is on its way. The calling daemon takes it
// late, since it has no memory for it at first.
func TestReplyThatWaitsIsNotClosed(t *testing.T) {
	s := newSession(t)
	n := operator.NewClientTable(operator.ClientLimits{Connections: 1}, nil)
	u, e := NewTransport("127.0.0.1:0", s.keys("c", s.authority), WithClients(n))
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = u.Close() }()
	defer serveUntilEnd(t, NewServer(u, &bodyPeer{}, func(lavenderridge.ByteCount) {}))()

	b := operator.NewBodyBudget(64 * lavenderridge.Mebibyte)
	h, a := b.NewAccount(), b.NewAccount()
	defer a.Close()
	const size = 12 << 20 // bytes; more than the windows and buffers of the connection take
	if e := h.ReserveResponse(t.Context(), b.LargestResponse(64*lavenderridge.Mebibyte)); e != nil {
		t.Fatal(e)
	}
	d := make(chan error, 1)
	go func() {
		i := &lavenderridge.Instance{ID: "c", Peer: u.Address()}
		p, e := s.client.Dial(i).Handle(operator.WithBodyAccount(t.Context(), a), &lavenderridge.Request{ID: "r", Attempt: 1, Path: fmt.Sprint(size)})
		if e == nil && len(p.Body) != size {
			e = fmt.Errorf("a body of %d bytes", len(p.Body))
		}
		d <- e
	}()
	time.Sleep(time.Second)
	x, e := net.Dial("tcp", string(u.Address()))
	if e != nil {
		t.Fatal(e)
	}
	// The server closes the further connection unread.
	_ = x.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, e = x.Read(make([]byte, 1))
	_ = x.Close()
	if e == nil || n.Refused() != 1 || n.Closed() != 0 {
		t.Errorf("%d connections refused and %d closed, read error %v; want 1 and 0", n.Refused(), n.Closed(), e)
	}
	h.Close()
	if e := <-d; e != nil {
		t.Errorf("the call that waited got %v", e)
	}
}

// serveUntilEnd serves h and returns a function that ends that.
func serveUntilEnd(t *testing.T, h *Server) func() {
	c, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- h.Serve(c) }()
	return func() {
		f()
		if e := <-d; e != nil {
			t.Error(e)
		}
	}
}
