package peerhttp

import (
	"context"
	"testing"

	"github.com/lavenderridge/lavenderridge"
	standin "github.com/lavenderridge/lavenderridge/internal/standin/link"
)

// The first call to a second daemon must not find its own connection half-open.
func TestOneHalfOpenConnectionRevealsOthers(t *testing.T) {
	s := newSession(t)
	v, e := NewTransport("127.0.0.1:0", s.keys("c", s.authority))
	if e != nil {
		t.Fatal(e)
	}
	c, f := context.WithCancel(context.Background())
	r := make(chan error, 1)
	h := NewServer(v, &s.peer, func(lavenderridge.ByteCount) {})
	go func() { r <- h.Serve(c) }()
	k, e := standin.NewTCP(c, v.Address())
	if e != nil {
		t.Fatal(e)
	}
	defer func() {
		_ = s.client.Close()
		f()
		_ = v.Close()
		t.Logf("server ended: %v", <-r)
		k.Wait()
	}()
	call := func(n lavenderridge.InstanceID, a lavenderridge.Address) error {
		_, e := s.client.Dial(&lavenderridge.Instance{ID: n, Peer: a}).Handle(t.Context(), &lavenderridge.Request{ID: "r", Attempt: 1, Path: "0s"})
		return e
	}
	if e := call("b", s.link.Address()); e != nil {
		t.Fatal(e)
	}
	if e := call("c", k.Address()); e != nil {
		t.Fatal(e)
	}
	s.link.MakeHalfOpen()
	k.MakeHalfOpen()
	if e := call("b", s.link.Address()); e == nil {
		t.Error("a call on a half-open connection succeeded")
	}
	s.waitFor(func() bool {
		l, o := s.client.links.Load(lavenderridge.InstanceID("c"))
		return o && l.(*link).connection.Load() == nil
	})
	if e := call("c", k.Address()); e != nil {
		t.Errorf("the first call to the second daemon: %v", e)
	}
}
