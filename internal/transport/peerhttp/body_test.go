package peerhttp

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// bodyPeer answers with a body of the size that the path of the request states, and
// remembers the size of the body that it got.
type bodyPeer struct {
	lavenderridge.Peer
	got   int
	whole bool
}

func (p *bodyPeer) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	var n int
	if _, e := fmt.Sscan(r.Path, &n); e != nil {
		return nil, e
	}
	p.got, p.whole = len(r.Body), bytes.Count(r.Body, []byte{'q'}) == len(r.Body)
	return &lavenderridge.Response{ID: r.ID, Attempt: r.Attempt, Status: 200, Body: bytes.Repeat([]byte{'p'}, n)}, nil
}

// newBodyPair returns the link of a client to a server with the memory m for bodies, and
// the server's transport.
func newBodyPair(t testing.TB, m lavenderridge.ByteCount, p lavenderridge.Peer) (lavenderridge.Peer, *Transport) {
	t.Helper()
	a, e := peertls.NewAuthority(time.Now(), time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	var n [2]*Transport
	for i, d := range []lavenderridge.InstanceID{"a", "b"} {
		c, e := a.Issue(peertls.Identity{Instance: d, DataCentre: "dc"}, time.Now(), time.Hour)
		if e != nil {
			t.Fatal(e)
		}
		if n[i], e = NewTransport("127.0.0.1:0", peertls.NewKeys(c, a.Pool()), WithBodies(operator.NewBodyBudget(m))); e != nil {
			t.Fatal(e)
		}
		t.Cleanup(func() { _ = n[i].Close() })
	}
	c, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	t.Cleanup(func() {
		f()
		if e := <-d; e != nil {
			t.Error(e)
		}
	})
	go func() { d <- NewServer(n[1], p, func(lavenderridge.ByteCount) {}).Serve(c) }()
	return n[0].Dial(&lavenderridge.Instance{ID: "b", Peer: n[1].Address()}), n[1]
}

// TestBodiesBetweenDaemons guards against bodies that callers may send and that no other
// daemon takes, and against bodies that are taken without memory for them.
func TestBodiesBetweenDaemons(t *testing.T) {
	datadriven.RunTest(t, "testdata/bodies", func(t *testing.T, d *datadriven.TestData) string {
		var m, q, n int
		d.ScanArgs(t, "memory", &m)
		d.ScanArgs(t, "request", &q)
		d.ScanArgs(t, "response", &n)
		p := &bodyPeer{}
		l, _ := newBodyPair(t, lavenderridge.ByteCount(m), p)
		k := operator.NewBodyBudget(lavenderridge.ByteCount(m))
		a := k.NewAccount()
		defer a.Close()
		c, f := context.WithTimeout(operator.WithBodyAccount(t.Context(), a), 10*time.Second)
		defer f()
		v, e := l.Handle(c, &lavenderridge.Request{ID: "r", Attempt: 1, Method: "POST", Path: fmt.Sprint(n), Body: bytes.Repeat([]byte{'q'}, q)})
		if e != nil {
			x := lavenderridge.AsRefusal(e)
			return fmt.Sprintf("refused %s %s, retry after %s; the daemon got %d bytes\n", x.Outcome, x.Reason, x.RetryAfter, p.got)
		}
		return fmt.Sprintf("got %d bytes whole=%t, answered %d bytes whole=%t\n", p.got, p.whole, len(v.Body), strings.Count(string(v.Body), "p") == len(v.Body))
	})
}

// TestReplyWithoutBodyField guards against a reply that a daemon of an earlier version
// can't read: it doesn't know that a body may follow a message.
func TestReplyWithoutBodyField(t *testing.T) {
	b, e := encode(byte(kindHandle), newWireRequest(&lavenderridge.Request{ID: "r", Path: "100000"}, time.Now()))
	if e != nil {
		t.Fatal(e)
	}
	s := &Server{peer: &bodyPeer{}}
	for _, o := range []bool{false, true} {
		p, _, e := s.handleMessage(t.Context(), &frame{message: b}, o, peertls.Identity{Instance: "a"})
		if e != nil {
			t.Fatal(e)
		}
		var w wireResponse
		if e := decode(p.message[1:], &w); e != nil {
			t.Fatal(e)
		}
		if n := len(w.Body); o != (n == 0) || o != (len(p.body) == 100000) {
			t.Errorf("understands bodies %t: %d bytes in the message, %d after it", o, n, len(p.body))
		}
	}
}

// TestResponseWithoutMemoryIsHeldBack guards against responses that fill the memory of a
// daemon while they wait for their part of it.
func TestResponseWithoutMemoryIsHeldBack(t *testing.T) {
	const size = 8 * int(lavenderridge.Mebibyte)
	l, b := newBodyPair(t, 0, &bodyPeer{})
	k := operator.NewBodyBudget(40 * lavenderridge.Mebibyte)
	other, a := k.NewAccount(), k.NewAccount()
	if e := other.ReserveResponse(t.Context(), 8*lavenderridge.Mebibyte); e != nil {
		t.Fatal(e)
	}
	d := make(chan error, 1)
	go func() {
		p, e := l.Handle(operator.WithBodyAccount(t.Context(), a), &lavenderridge.Request{ID: "r", Attempt: 1, Method: "GET", Path: fmt.Sprint(size)})
		if e == nil && len(p.Body) != size {
			e = fmt.Errorf("%d bytes", len(p.Body))
		}
		d <- e
	}()
	select {
	case e := <-d:
		t.Fatalf("ended without memory: %v", e)
	case <-time.After(300 * time.Millisecond):
	}
	if n, _ := b.Traffic().Sent(); n > 2*streamWindow {
		t.Errorf("%d bytes were sent without memory; want at most %d", n, 2*streamWindow)
	}
	other.Close()
	if e := <-d; e != nil {
		t.Error(e)
	}
	a.Close()
}

// followingPeer replies to exchanges with what it knows of who follows the source.
type followingPeer struct {
	lavenderridge.Peer
	following lavenderridge.Following
}

func (p *followingPeer) Exchange(context.Context, *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	return &lavenderridge.Exchange{Sender: lavenderridge.Sender{Instance: "b", DataCentre: "dc"}, Following: p.following}, nil
}

// TestFollowingTravels guards against word of who follows the source that is lost or too
// young, since it travels beside the message of an exchange.
func TestFollowingTravels(t *testing.T) {
	p := &followingPeer{}
	l, _ := newBodyPair(t, 0, p)
	for _, v := range []struct{ sent, want lavenderridge.Following }{
		{},
		{sent: lavenderridge.Following{By: "c d"}, want: lavenderridge.Following{By: "c d"}},
		{sent: lavenderridge.Following{By: "c", Age: 1500001 * time.Nanosecond}, want: lavenderridge.Following{By: "c", Age: 2 * time.Millisecond}},
	} {
		p.following = v.sent
		q, e := l.Exchange(t.Context(), &lavenderridge.Exchange{Sender: lavenderridge.Sender{Instance: "a", DataCentre: "dc"}})
		if e != nil {
			t.Fatal(e)
		}
		if q.Following != v.want {
			t.Errorf("sent %+v, received %+v; want %+v", v.sent, q.Following, v.want)
		}
	}
}

// statusPeer responds with a status.
type statusPeer struct {
	lavenderridge.Peer
	status int
}

func (p statusPeer) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	return &lavenderridge.Response{ID: r.ID, Status: p.status}, nil
}

// TestRemoteStatuses guards against a status that ends no request and comes from a daemon
// that doesn't check it.
func TestRemoteStatuses(t *testing.T) {
	for n, o := range map[int]bool{0: false, 101: false, 200: true, 599: true, 999: false} {
		l, _ := newBodyPair(t, 0, statusPeer{status: n})
		p, e := l.Handle(t.Context(), &lavenderridge.Request{ID: "1"})
		switch {
		case o && (e != nil || p.Status != n):
			t.Errorf("status %d: %+v, %v", n, p, e)
		case !o && (e == nil || lavenderridge.AsRefusal(e).Outcome != lavenderridge.OutcomeUnknown):
			t.Errorf("status %d: %+v, %v; want a refusal with an unknown outcome", n, p, e)
		}
	}
}

// namePeer responds with a header that has one field.
type namePeer struct {
	lavenderridge.Peer
	name string
}

func (p namePeer) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	return &lavenderridge.Response{ID: r.ID, Status: 200, Header: lavenderridge.Header{p.name: {"1"}}}, nil
}

// TestRemoteFieldNames guards against a header that comes from a daemon that doesn't check
// the names of fields.
func TestRemoteFieldNames(t *testing.T) {
	for n, o := range map[string]bool{"X-Y": true, "X Y": false, "Transfer-Encoding ": false, "X\x01": false, "": false} {
		l, _ := newBodyPair(t, 0, namePeer{name: n})
		p, e := l.Handle(t.Context(), &lavenderridge.Request{ID: "1"})
		switch {
		case o && (e != nil || p.Header[n] == nil):
			t.Errorf("name %q: %+v, %v", n, p, e)
		case !o && (e == nil || lavenderridge.AsRefusal(e).Outcome != lavenderridge.OutcomeUnknown):
			t.Errorf("name %q: %+v, %v; want a refusal with an unknown outcome", n, p, e)
		}
	}
}

// BenchmarkBody reports what one call with a body allocates, client and server together.
func BenchmarkBody(b *testing.B) {
	for _, n := range []lavenderridge.ByteCount{lavenderridge.Kibibyte, 64 * lavenderridge.Kibibyte, lavenderridge.Mebibyte, 8 * lavenderridge.Mebibyte, 64 * lavenderridge.Mebibyte} {
		b.Run(fmt.Sprintf("%dKiB", n/lavenderridge.Kibibyte), func(b *testing.B) {
			l, _ := newBodyPair(b, 0, &bodyPeer{})
			r := &lavenderridge.Request{ID: "r", Attempt: 1, Method: "POST", Path: "0", Body: make([]byte, n)}
			b.ReportAllocs()
			b.SetBytes(int64(n))
			for b.Loop() {
				if _, e := l.Handle(context.Background(), r); e != nil {
					b.Fatal(e)
				}
			}
		})
	}
}
