package peerhttp

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	standin "github.com/lavenderridge/lavenderridge/internal/standin/link"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// slowPeer responds after the duration in the request's path. It counts the
// requests that began and those whose context ended before the response.
type slowPeer struct {
	lavenderridge.Peer
	begun, cancelled atomic.Int64
	// customer is that of the last request.
	customer atomic.Value
}

func (p *slowPeer) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	p.begun.Add(1)
	p.customer.Store(r.Customer)
	d, e := time.ParseDuration(r.Path)
	if e != nil {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNoRoute, "scripted")
	}
	select {
	case <-time.After(d):
		return &lavenderridge.Response{ID: r.ID, Attempt: r.Attempt, Status: 200}, nil
	case <-c.Done():
		p.cancelled.Add(1)
		return nil, c.Err()
	}
}

// session connects a client "a" to a server "b" through a link that a test can
// interrupt.
type session struct {
	t               *testing.T
	authority       *peertls.Authority
	peer            slowPeer
	registry        metrics.Registry
	client          *Transport
	serverTransport *Transport
	server          *Server
	cancelServer    context.CancelFunc
	serveResult     chan error
	link            *standin.TCP
	results         map[string]chan string
	cancels         map[string]context.CancelFunc
}

func (s *session) keys(n lavenderridge.InstanceID, a *peertls.Authority) *peertls.Keys {
	c, e := a.Issue(peertls.Identity{Instance: n, DataCentre: "dc"}, time.Now(), time.Hour)
	if e != nil {
		s.t.Fatal(e)
	}
	return peertls.NewKeys(c, s.authority.Pool())
}

func newSession(t *testing.T) *session {
	s := &session{t: t, registry: metrics.NewRegistry(), results: map[string]chan string{}, cancels: map[string]context.CancelFunc{}}
	var e error
	if s.authority, e = peertls.NewAuthority(time.Now(), time.Hour); e != nil {
		t.Fatal(e)
	}
	k := s.keys("b", s.authority)
	s.startServer("127.0.0.1:0", k)
	s.startClient(s.authority)
	c, f := context.WithCancel(context.Background())
	if s.link, e = standin.NewTCP(c, s.serverTransport.Address()); e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() {
		_ = s.client.Close()
		s.stopServer()
		f()
		s.link.Wait()
		goleak.VerifyNone(t)
	})
	return s
}

func (s *session) startClient(a *peertls.Authority) {
	t, e := NewTransport("127.0.0.1:0", s.keys("a", a), WithMetrics(s.registry))
	if e != nil {
		s.t.Fatal(e)
	}
	s.client = t
}

func (s *session) startServer(a lavenderridge.Address, k *peertls.Keys) {
	t, e := NewTransport(a, k)
	if e != nil {
		s.t.Fatal(e)
	}
	var c context.Context
	c, s.cancelServer = context.WithCancel(context.Background())
	s.serverTransport, s.serveResult = t, make(chan error, 1)
	s.server = NewServer(t, &s.peer, func(lavenderridge.ByteCount) {})
	f, h := s.serveResult, s.server
	go func() { f <- h.Serve(c) }()
}

func (s *session) stopServer() {
	s.cancelServer()
	_ = s.serverTransport.Close()
	s.t.Logf("server ended: %v", <-s.serveResult)
}

// prepareCall returns a function that makes the call of a test line. It reads the
// line before it returns, since the function may run after the line's end.
func (s *session) prepareCall(c context.Context, d *datadriven.TestData) func() string {
	var a, m string
	d.ScanArgs(s.t, "takes", &a)
	d.MaybeScanArgs(s.t, "deadline", &m)
	v, _ := time.ParseDuration(m)
	r := &lavenderridge.Request{ID: "r", Attempt: 1, Path: a}
	d.MaybeScanArgs(s.t, "customer", (*string)(&r.Customer))
	return func() string { return s.call(c, r, v) }
}

func (s *session) call(c context.Context, r *lavenderridge.Request, m time.Duration) string {
	if m > 0 {
		x, f := context.WithTimeout(c, m)
		defer f()
		c = x
	}
	n := &lavenderridge.Instance{ID: "b", Peer: s.link.Address()}
	p, e := s.client.Dial(n).Handle(c, r)
	if e != nil {
		f := lavenderridge.AsRefusal(e)
		return fmt.Sprintf("%s %s place=%q\n", f.Outcome, f.Reason, f.Place)
	}
	t := fmt.Sprintf("status %d from %s\n", p.Status, p.Sender.Instance)
	if r.Customer != "" {
		t += fmt.Sprintf("for the customer %q\n", s.peer.customer.Load())
	}
	return t
}

func (s *session) runCommand(d *datadriven.TestData) string {
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
		return s.prepareCall(context.Background(), d)()
	case "start":
		c, f := context.WithCancel(context.Background())
		o, b := make(chan string, 1), s.peer.begun.Load()
		s.results[name], s.cancels[name] = o, f
		g := s.prepareCall(c, d)
		go func() { o <- g() }()
		if !d.HasArg("nowait") {
			s.waitFor(func() bool { return s.peer.begun.Load() > b })
		}
	case "finish":
		return <-s.results[name]
	case "cancel":
		b := s.peer.cancelled.Load()
		s.cancels[name]()
		s.waitFor(func() bool { return s.peer.cancelled.Load() > b })
		return "the server's context ended\n"
	case "silence":
		s.link.MakeHalfOpen()
	case "cut":
		s.link.Cut(!d.HasArg("end"))
	case "stop":
		s.cancelServer()
		time.Sleep(50 * time.Millisecond)
	case "stopped":
		s.serveResult <- <-s.serveResult
		// The client learns a moment later that its connection is closed.
		time.Sleep(50 * time.Millisecond)
	case "crash":
		a, k := s.serverTransport.Address(), s.serverTransport.keys
		_ = s.server.http.Close()
		s.stopServer()
		s.startServer(a, k)
	case "impostor":
		_ = s.client.Close()
		a, e := peertls.NewAuthority(time.Now(), time.Hour)
		if e != nil {
			s.t.Fatal(e)
		}
		s.startClient(a)
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

func (s *session) waitFor(f func() bool) {
	s.t.Helper()
	for d := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(d) {
			s.t.Fatal("condition not met within 5s")
		}
	}
}

// TestSessions runs the golden files of testdata/sessions over real sockets.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, p string) {
		s := newSession(t)
		datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.runCommand(d)
		})
	})
}

// heardNotices generates what a daemon may tell another one of a backend server.
var heardNotices = rapid.Custom(func(t *rapid.T) *lavenderridge.HeardNotice {
	if !rapid.Bool().Draw(t, "heard") {
		return nil
	}
	return &lavenderridge.HeardNotice{
		Notice: lavenderridge.Notice{
			Limited: rapid.Bool().Draw(t, "limited"), Limit: lavenderridge.Rate(rapid.Float64Range(0, math.MaxFloat64).Draw(t, "limit")),
			Invalid: rapid.Bool().Draw(t, "invalid"), Leaving: rapid.Bool().Draw(t, "leaving"),
		},
		Backend: lavenderridge.BackendID(rapid.StringMatching("[a-z0-9-]{0,80}").Draw(t, "backend")),
		Place:   lavenderridge.InstanceID(rapid.StringMatching("[a-z0-9.]{0,80}").Draw(t, "place")),
		Age:     time.Duration(rapid.Int64Range(0, int64(maxHeardAge)).Draw(t, "age")),
	}
})

// FuzzHeard checks that the text of the field for what a daemon has heard, which may be
// anything, gives a notice that can be used or none.
func FuzzHeard(f *testing.F) {
	f.Add(encodeHeard(&lavenderridge.HeardNotice{Notice: lavenderridge.Notice{Limited: true, Limit: 30.8}, Backend: "i-1", Age: time.Second}))
	f.Add(encodeHeard(&lavenderridge.HeardNotice{Notice: lavenderridge.Notice{Limited: true, Limit: lavenderridge.Rate(math.NaN())}}))
	f.Add(encodeHeard(&lavenderridge.HeardNotice{Notice: lavenderridge.Notice{Limited: true, Limit: -1}, Age: -1}))
	f.Add("")
	f.Add("=")
	f.Fuzz(func(t *testing.T, s string) {
		n := decodeHeard(s)
		if n == nil {
			return
		}
		if !(n.Limit >= 0) || math.IsInf(float64(n.Limit), 0) || n.Age < 0 || n.Age > maxHeardAge {
			t.Errorf("%q gives %+v", s, n)
		}
	})
}

// TestWireForm checks that a request keeps everything but the digests of its stamps,
// the notice for the caller's side and the customer's key when it is encoded and decoded.
// The key isn't sent to other daemons. The customer and what the sender has heard travel
// beside the message.
func TestWireForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.Make[lavenderridge.Request]().Draw(t, "request")
		n := time.Unix(1_800_000_000, 0)
		r.Deadline = n.Add(time.Duration(rapid.IntRange(1, 1_000_000_000).Draw(t, "remaining")))
		r.Heard, r.Limited = heardNotices.Draw(t, "notice"), nil
		k := r.CustomerKey
		if b, e := cbor.Marshal(newWireRequest(&r, n)); e != nil || k != (lavenderridge.CustomerKey{}) && bytes.Contains(b, k[:]) {
			t.Fatalf("the message contains the customer's key, or can't be encoded (%v)", e)
		}
		r.CustomerKey = lavenderridge.CustomerKey{}
		r.Sender.Stamps.Catalogue.Digest, r.Sender.Stamps.InstanceList.Digest = lavenderridge.Digest{}, lavenderridge.Digest{}
		b, e := encode(byte(kindHandle), newWireRequest(&r, n))
		if e != nil {
			t.Fatal(e)
		}
		var w wireRequest
		if e := decode(b[1:], &w); e != nil {
			t.Skip("the request contains text that is not valid UTF-8")
		}
		v := w.request(lavenderridge.Sender{Instance: r.Sender.Instance, DataCentre: r.Sender.DataCentre}, n)
		v.Heard = decodeHeard(encodeHeard(r.Heard))
		if v.Customer, e = customer(context.WithValue(context.Background(), customerTextKey{}, encodeCustomer(r.Customer))); e != nil {
			t.Fatal(e)
		}
		if !reflect.DeepEqual(v, &r) {
			t.Fatalf("got %+v\nwant %+v", v, &r)
		}
	})
}

// FuzzCustomer checks that the text of the field for the customer, which may be anything,
// gives a customer or an error, and that a customer is unchanged by its encoding.
func FuzzCustomer(f *testing.F) {
	f.Add("")
	f.Add("=")
	f.Add(encodeCustomer("pulo780"))
	f.Add(strings.Repeat("a", maxCustomerText+1))
	f.Fuzz(func(t *testing.T, s string) {
		d, e := customer(context.WithValue(t.Context(), customerTextKey{}, s))
		if e != nil {
			return
		}
		if v, e := customer(context.WithValue(t.Context(), customerTextKey{}, encodeCustomer(d))); e != nil || v != d {
			t.Errorf("%q gives %q, and its encoding %q, %v", s, d, v, e)
		}
	})
}

// FuzzHandleMessage checks that the server has a reply to every message that
// carries a request or is of an unknown kind, also if it does not decode.
func FuzzHandleMessage(f *testing.F) {
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
		p, _, e := s.handleMessage(c, &frame{message: b}, true, peertls.Identity{Instance: "a"})
		if e != nil || len(p.message) == 0 {
			t.Fatalf("no reply: %v", e)
		}
	})
}
