package peerhttp

import (
	"context"
	"fmt"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	standin "github.com/lavenderridge/lavenderridge/internal/standin/link"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// slowPeer answers after the time in the request's path and counts what it
// was told to stop.
type slowPeer struct {
	lavenderridge.Peer
	begun, ended atomic.Int64
}

func (p *slowPeer) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	p.begun.Add(1)
	d, e := time.ParseDuration(r.Path)
	if e != nil {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNoRoute, "scripted")
	}
	select {
	case <-time.After(d):
		return &lavenderridge.Response{ID: r.ID, Attempt: r.Attempt, Status: 200}, nil
	case <-c.Done():
		p.ended.Add(1)
		return nil, c.Err()
	}
}

// session is a client "a" that reaches the server "b" through a link.
type session struct {
	t         *testing.T
	authority *peertls.Authority
	peer      slowPeer
	registry  metrics.Registry
	client    *Transport
	server    *Transport
	answering *Server
	stop      context.CancelFunc
	served    chan error
	link      *standin.TCP
	started   map[string]chan string
	cancels   map[string]context.CancelFunc
}

func (s *session) keys(n lavenderridge.InstanceID, a *peertls.Authority) *peertls.Keys {
	c, e := a.Issue(peertls.Identity{Instance: n, DataCentre: "dc"}, time.Now(), time.Hour)
	if e != nil {
		s.t.Fatal(e)
	}
	return peertls.NewKeys(c, s.authority.Pool())
}

func newSession(t *testing.T) *session {
	s := &session{t: t, registry: metrics.NewRegistry(), started: map[string]chan string{}, cancels: map[string]context.CancelFunc{}}
	var e error
	if s.authority, e = peertls.NewAuthority(time.Now(), time.Hour); e != nil {
		t.Fatal(e)
	}
	k := s.keys("b", s.authority)
	s.serve("127.0.0.1:0", k)
	s.connect(s.authority)
	c, f := context.WithCancel(context.Background())
	if s.link, e = standin.NewTCP(c, s.server.Address()); e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() {
		_ = s.client.Close()
		s.halt()
		f()
		s.link.Wait()
		goleak.VerifyNone(t)
	})
	return s
}

func (s *session) connect(a *peertls.Authority) {
	t, e := NewTransport("127.0.0.1:0", s.keys("a", a), WithMetrics(s.registry))
	if e != nil {
		s.t.Fatal(e)
	}
	s.client = t
}

func (s *session) serve(a lavenderridge.Address, k *peertls.Keys) {
	t, e := NewTransport(a, k)
	if e != nil {
		s.t.Fatal(e)
	}
	var c context.Context
	c, s.stop = context.WithCancel(context.Background())
	s.server, s.served = t, make(chan error, 1)
	s.answering = NewServer(t, &s.peer, func(lavenderridge.ByteCount) {})
	f, h := s.served, s.answering
	go func() { f <- h.Serve(c) }()
}

func (s *session) halt() {
	s.stop()
	_ = s.server.Close()
	s.t.Logf("server ended: %v", <-s.served)
}

// call returns what the call of a line gives. It reads the line at once.
func (s *session) call(c context.Context, d *datadriven.TestData) func() string {
	var a, m string
	d.ScanArgs(s.t, "takes", &a)
	d.MaybeScanArgs(s.t, "deadline", &m)
	v, _ := time.ParseDuration(m)
	return func() string { return s.handle(c, a, v) }
}

func (s *session) handle(c context.Context, a string, m time.Duration) string {
	if m > 0 {
		x, f := context.WithTimeout(c, m)
		defer f()
		c = x
	}
	n := &lavenderridge.Instance{ID: "b", Peer: s.link.Address()}
	p, e := s.client.Dial(n).Handle(c, &lavenderridge.Request{ID: "r", Attempt: 1, Path: a})
	if e != nil {
		f := lavenderridge.AsRefusal(e)
		return fmt.Sprintf("%s %s place=%q\n", f.Outcome, f.Reason, f.Place)
	}
	return fmt.Sprintf("status %d from %s\n", p.Status, p.Sender.Instance)
}

func (s *session) run(d *datadriven.TestData) string {
	var name, w string
	d.MaybeScanArgs(s.t, "name", &name)
	if d.MaybeScanArgs(s.t, "within", &w) {
		b, m := time.Now(), mustDuration(s.t, w)
		defer func() {
			if v := time.Since(b); v > m {
				s.t.Errorf("%s: took %s; want at most %s", d.Pos, v, m)
			}
		}()
	}
	switch d.Cmd {
	case "call":
		return s.call(context.Background(), d)()
	case "start":
		c, f := context.WithCancel(context.Background())
		o, b := make(chan string, 1), s.peer.begun.Load()
		s.started[name], s.cancels[name] = o, f
		g := s.call(c, d)
		go func() { o <- g() }()
		if !d.HasArg("unseen") {
			s.until(func() bool { return s.peer.begun.Load() > b })
		}
	case "finish":
		return <-s.started[name]
	case "cancel":
		b := s.peer.ended.Load()
		s.cancels[name]()
		s.until(func() bool { return s.peer.ended.Load() > b })
		return "the server's context ended\n"
	case "silence":
		s.link.Silence()
	case "cut":
		s.link.Cut(!d.HasArg("off"))
	case "stop":
		s.stop()
		time.Sleep(50 * time.Millisecond)
	case "stopped":
		s.served <- <-s.served
		// The client hears of it a moment later.
		time.Sleep(50 * time.Millisecond)
	case "crash":
		a, k := s.server.Address(), s.server.keys
		_ = s.answering.http.Close()
		s.halt()
		s.serve(a, k)
	case "impostor":
		_ = s.client.Close()
		a, e := peertls.NewAuthority(time.Now(), time.Hour)
		if e != nil {
			s.t.Fatal(e)
		}
		s.connect(a)
	case "counters":
		v := func(n string) int64 { return metrics.GetOrRegisterCounter(n, s.registry).Count() }
		return fmt.Sprintf("replaced=%d probed=%t refused=%t\n", v("PeerConnectionsReplaced"), v("PeerProbes") > 0, v("PeerTLSRefused") > 0)
	default:
		s.t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func mustDuration(t *testing.T, s string) time.Duration {
	d, e := time.ParseDuration(s)
	if e != nil {
		t.Fatal(e)
	}
	return d
}

func (s *session) until(f func() bool) {
	s.t.Helper()
	for d := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(d) {
			s.t.Fatal("not within 5s")
		}
	}
}

// TestSessions replays golden sessions over real sockets.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, p string) {
		s := newSession(t)
		datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.run(d)
		})
	})
}

// TestWireForm checks that requests and responses keep all but the digests of
// their stamps on their way.
func TestWireForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.Make[lavenderridge.Request]().Draw(t, "request")
		n := time.Unix(1_800_000_000, 0)
		r.Deadline = n.Add(time.Duration(rapid.IntRange(1, 1_000_000_000).Draw(t, "remaining")))
		r.Sender.Stamps.Catalogue.Digest, r.Sender.Stamps.InstanceList.Digest = lavenderridge.Digest{}, lavenderridge.Digest{}
		b, e := encode(byte(kindHandle), newWireRequest(&r, n))
		if e != nil {
			t.Fatal(e)
		}
		var w wireRequest
		if e := decode(b[1:], &w); e != nil {
			t.Skip("text that is not UTF-8")
		}
		v := w.request(lavenderridge.Sender{Instance: r.Sender.Instance, DataCentre: r.Sender.DataCentre}, n)
		if !reflect.DeepEqual(v, &r) {
			t.Fatalf("got %+v\nwant %+v", v, &r)
		}
	})
}

// FuzzAnswer checks that no message breaks the server, and that what can't be
// read is refused as not run.
func FuzzAnswer(f *testing.F) {
	b, e := encode(byte(kindHandle), newWireRequest(&lavenderridge.Request{ID: "r", Path: "1ms"}, time.Now()))
	if e != nil {
		f.Fatal(e)
	}
	f.Add(b)
	for k := range 8 {
		f.Add([]byte{byte(k), 0xa0})
		f.Add([]byte{byte(k), 0x9f, 0xff})
	}
	s := &Server{peer: &slowPeer{}}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 || kind(b[0]) != kindHandle && kind(b[0]) <= kindHandOver {
			return
		}
		c, f := context.WithTimeout(context.Background(), time.Millisecond)
		defer f()
		p, _, e := s.answer(c, b, peertls.Identity{Instance: "a"})
		if e != nil || len(p) == 0 {
			t.Fatalf("no reply: %v", e)
		}
	})
}
