package backendhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

func newClient(t *testing.T, a lavenderridge.Address, n lavenderridge.Connections, o ...backendhttp.Option) *backendhttp.Client {
	t.Helper()
	l, e := backendhttp.NewClient(t.Context(), a, n, lavenderridge.Mebibyte, o...)
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func newStandin(t *testing.T, slots lavenderridge.Slots, d time.Duration, o ...backendserver.Option) *backendserver.Server {
	t.Helper()
	s := backendserver.NewServer("a", slots, d, o...)
	if e := s.Start(); e != nil {
		t.Fatal(e)
	}
	t.Cleanup(s.Close)
	return s
}

// rawServer reads requests from each connection and calls a function that
// writes the response. It counts the requests that it has read.
type rawServer struct {
	listener net.Listener
	requests atomic.Int64
}

func newRawServer(t *testing.T, f func(i int64, c net.Conn, q *http.Request) (open bool)) *rawServer {
	t.Helper()
	r := &rawServer{}
	r.listener = acceptEach(t, func(c net.Conn) { r.serve(c, f) })
	return r
}

// acceptEach returns a listener that calls f with each connection until the test ends.
func acceptEach(t *testing.T, f func(net.Conn)) net.Listener {
	t.Helper()
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, e := l.Accept()
			if e != nil {
				return
			}
			go f(c)
		}
	}()
	return l
}

func (r *rawServer) serve(c net.Conn, f func(int64, net.Conn, *http.Request) bool) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		q, e := http.ReadRequest(b)
		if e != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if !f(r.requests.Add(1), c, q) {
			return
		}
	}
}

func (r *rawServer) address() lavenderridge.Address {
	return lavenderridge.Address(r.listener.Addr().String())
}

func request(m, b string) *lavenderridge.Request {
	return &lavenderridge.Request{
		ID: "1", Method: m, Path: "/x", Body: []byte(b),
		Header: lavenderridge.Header{"Idempotency-Key": {"018f"}},
	}
}

func checkRefusal(t *testing.T, e error, o lavenderridge.Outcome, r lavenderridge.Reason) {
	t.Helper()
	if e == nil {
		t.Errorf("no error; want %s, %s", r, o)
		return
	}
	if f := lavenderridge.AsRefusal(e); f.Outcome != o || f.Reason != r {
		t.Errorf("error %v; want %s, %s", e, r, o)
	}
}

func TestRefusesWithoutSending(t *testing.T) {
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	a := lavenderridge.Address(l.Addr().String())
	_ = l.Close()
	b := newClient(t, a, 10)
	_, e = b.Handle(t.Context(), request("POST", "x"))
	checkRefusal(t, e, lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable)
	_, e = b.Probe(t.Context())
	checkRefusal(t, e, lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable)
}

// TestRefusesWhileThePoolIsFull checks that a request whose deadline passes
// while it waits for a free connection is refused as not run.
func TestRefusesWhileThePoolIsFull(t *testing.T) {
	s := newStandin(t, 10, 300*time.Millisecond)
	b := newClient(t, s.Address(), 2)
	var g sync.WaitGroup
	g.Go(func() { _, _ = b.Handle(t.Context(), request("POST", "x")) })
	time.Sleep(50 * time.Millisecond)
	c, f := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer f()
	_, e := b.Handle(c, request("POST", "x"))
	checkRefusal(t, e, lavenderridge.OutcomeNotRun, lavenderridge.ReasonDeadline)
	g.Wait()
	if n := len(s.RunLog()); n != 1 {
		t.Errorf("%d runs; want 1", n)
	}
}

// TestSendsOnce checks that a request is not resent when the server closes a
// reused connection after reading it. The HTTP library would resend some of
// these requests by default.
func TestSendsOnce(t *testing.T) {
	for _, m := range []string{"GET", "POST", "DELETE"} {
		for _, body := range []string{"", "x"} {
			r := newRawServer(t, func(i int64, c net.Conn, _ *http.Request) bool {
				if i == 1 {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				return i == 1
			})
			b := newClient(t, r.address(), 10)
			if _, e := b.Handle(t.Context(), request(m, body)); e != nil {
				t.Fatal(e)
			}
			_, e := b.Handle(t.Context(), request(m, body))
			checkRefusal(t, e, lavenderridge.OutcomeUnknown, lavenderridge.ReasonConnectionLost)
			if n := r.requests.Load(); n != 2 {
				t.Errorf("%s %q: %d requests arrived; want 2", m, body, n)
			}
		}
	}
}

// TestRefusesTruncatedResponses checks that truncated responses are refused, and so
// is a response that has neither a Content-Length nor a chunked encoding.
func TestRefusesTruncatedResponses(t *testing.T) {
	for p, r := range map[string]lavenderridge.Reason{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc":                   lavenderridge.ReasonConnectionLost,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n": lavenderridge.ReasonConnectionLost,
		"HTTP/1.1 200 OK\r\n\r\nabc":                                        lavenderridge.ReasonBadResponse,
		"HTTP/1.1 200":                                                      lavenderridge.ReasonConnectionLost,
	} {
		s := newRawServer(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, p)
			return false
		})
		_, e := newClient(t, s.address(), 10).Handle(t.Context(), request("GET", ""))
		checkRefusal(t, e, lavenderridge.OutcomeUnknown, r)
	}
}

// endlessReader repeats its text without end.
type endlessReader string

func (r endlessReader) Read(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		n += copy(b[n:], r)
	}
	return n, nil
}

// Responses without end are refused, and take little memory until then.
func TestEndlessResponses(t *testing.T) {
	for _, p := range []struct {
		name, head, rest string
		bound            lavenderridge.ByteCount
	}{
		{"field", "HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaaaaaaaaaa", lavenderridge.Mebibyte},
		{"fields", "HTTP/1.1 200 OK\r\n", "X-A: aaaaaaaaaaaaaaaa\r\n", lavenderridge.Mebibyte},
		{"status line", "HTTP/1.1 200 ", "aaaaaaaaaaaaaaaa", lavenderridge.Mebibyte},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\n", 2 * lavenderridge.Mebibyte},
		{"body with chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", 8 * lavenderridge.Mebibyte},
		{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "abcd", 8 * lavenderridge.Mebibyte},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "aaaaaaaaaaaaaaaa", lavenderridge.Mebibyte},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: aaaaaaaaaaaaaaaa\r\n", lavenderridge.Mebibyte},
	} {
		t.Run(p.name, func(t *testing.T) {
			s := newRawServer(t, func(_ int64, c net.Conn, _ *http.Request) bool {
				_, _ = io.Copy(c, io.MultiReader(strings.NewReader(p.head), endlessReader(p.rest)))
				return false
			})
			b := newClient(t, s.address(), 10)
			c, f := context.WithTimeout(t.Context(), 5*time.Second)
			defer f()
			n := allocated(func() {
				_, e := b.Handle(c, request("GET", ""))
				if e == nil || lavenderridge.AsRefusal(e).Outcome != lavenderridge.OutcomeUnknown {
					t.Errorf("error %v; want a refusal with the outcome Unknown", e)
				}
			})
			if c.Err() != nil {
				t.Error("the client read until the deadline")
			}
			if n > p.bound {
				t.Errorf("%d bytes allocated; want at most %d", n, p.bound)
			}
		})
	}
}

// Concurrent bodies without end stay within one bound, whether they announce a size or
// not, and the next response is read.
func TestEndlessBodiesShareMemory(t *testing.T) {
	const concurrency, memory, responses = 4, 24 * lavenderridge.Mebibyte, 8 * lavenderridge.Mebibyte
	for _, h := range []string{"Content-Length: 1000000000000\r\n", ""} {
		s := newRawServer(t, func(i int64, c net.Conn, _ *http.Request) bool {
			if i > concurrency {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return true
			}
			_, _ = io.Copy(c, io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+h+"\r\n"), endlessReader("abcd")))
			return false
		})
		b, e := backendhttp.NewClient(t.Context(), s.address(), 10, 64*lavenderridge.Mebibyte, backendhttp.WithProtocol(unframedProtocol{}))
		if e != nil {
			t.Fatal(e)
		}
		t.Cleanup(func() { _ = b.Close() })
		k := operator.NewBodyBudget(memory)
		var g sync.WaitGroup
		n := allocated(func() {
			for range concurrency {
				g.Go(func() {
					a := k.NewAccount()
					defer a.Close()
					_, e := b.Handle(operator.WithBodyAccount(t.Context(), a), request("GET", ""))
					checkRefusal(t, e, lavenderridge.OutcomeUnknown, lavenderridge.ReasonTooLarge)
				})
			}
			g.Wait()
		})
		// Each takes all there is in turn, and smaller buffers before that.
		if m := concurrency*(responses+2*lavenderridge.Mebibyte) + lavenderridge.Mebibyte; n > m {
			t.Errorf("header %q: %d bytes allocated; want at most %d", h, n, m)
		}
		if n := k.Used(); n != 0 {
			t.Errorf("header %q: %d bytes are still reserved", h, n)
		}
		if p, e := b.Handle(t.Context(), request("GET", "")); e != nil || string(p.Body) != "ok" {
			t.Errorf("header %q: next response: %v, %v", h, p, e)
		}
	}
}

// unframedProtocol allows bodies that end with their connection.
type unframedProtocol struct{ backendhttp.Protocol }

func (unframedProtocol) AllowsUnframed() bool { return true }

// allocated returns the number of bytes that f allocates.
func allocated(f func()) lavenderridge.ByteCount {
	var a, b runtime.MemStats
	runtime.ReadMemStats(&a)
	f()
	runtime.ReadMemStats(&b)
	return lavenderridge.ByteCount(b.TotalAlloc - a.TotalAlloc)
}

func TestReturnsRedirects(t *testing.T) {
	s := newRawServer(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	for _, m := range []string{"GET", "POST"} {
		p, e := newClient(t, s.address(), 10).Handle(t.Context(), request(m, ""))
		if e != nil || p.Status != http.StatusTemporaryRedirect || p.Header.Get("Location") != "/y" {
			t.Errorf("%s: %+v, %v", m, p, e)
		}
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d requests arrived; want 2", n)
	}
}

// TestCancellationReachesBackendServer checks that the backend server sees the
// cancellation of a request's context.
func TestCancellationReachesBackendServer(t *testing.T) {
	s := newStandin(t, 10, 10*time.Second)
	c, f := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, f)
	_, e := newClient(t, s.Address(), 10).Handle(c, request("POST", "x"))
	checkRefusal(t, e, lavenderridge.OutcomeUnknown, lavenderridge.ReasonCancelled)
	for d := time.Now().Add(2 * time.Second); time.Now().Before(d); time.Sleep(5 * time.Millisecond) {
		if s.RunLog()[0].State == backendserver.RunAborted {
			return
		}
	}
	t.Errorf("run %+v", s.RunLog()[0])
}

// TestRespectsConnectionLimit checks that the client stays within its connection
// limit under 40 concurrent senders, while it replaces pools all the time
// because the unresponsive timeout is shorter than a response takes.
func TestRespectsConnectionLimit(t *testing.T) {
	s := newStandin(t, 100, 5*time.Millisecond)
	b := newClient(t, s.Address(), 8, backendhttp.WithUnresponsiveTimeout(3*time.Millisecond))
	var g sync.WaitGroup
	for range 40 {
		g.Go(func() {
			for range 10 {
				_, _ = b.Handle(t.Context(), request("POST", "x"))
			}
		})
	}
	g.Wait()
	if n := s.PeakConnections(); n > 8 {
		t.Errorf("%d connections; want 8 at most", n)
	}
}

// forwarder is a TCP proxy. After stall, the connections that were open pass no
// more bytes and stay open, while new ones work.
type forwarder struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	stalled  chan struct{}
}

func newForwarder(t *testing.T, target lavenderridge.Address) *forwarder {
	t.Helper()
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = l.Close() })
	f := &forwarder{listener: l, target: string(target), stalled: make(chan struct{})}
	go func() {
		for {
			c, e := l.Accept()
			if e != nil {
				return
			}
			f.forward(t, c)
		}
	}()
	return f
}

func (f *forwarder) forward(t *testing.T, c net.Conn) {
	d, e := net.Dial("tcp", f.target)
	if e != nil {
		_ = c.Close()
		return
	}
	t.Cleanup(func() { _, _ = c.Close(), d.Close() })
	f.mutex.Lock()
	s := f.stalled
	f.mutex.Unlock()
	for _, p := range [][2]net.Conn{{c, d}, {d, c}} {
		go func() {
			b := make([]byte, 4096)
			for {
				n, e := p[0].Read(b)
				select {
				case <-s:
					return
				default:
				}
				if e != nil {
					_ = p[1].Close()
					return
				}
				_, _ = p[1].Write(b[:n])
			}
		}()
	}
}

func (f *forwarder) stall() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.stalled)
	f.stalled = make(chan struct{})
}

// TestReplacesUnresponsiveConnections checks that requests succeed over new
// connections after all pooled connections have become unresponsive.
func TestReplacesUnresponsiveConnections(t *testing.T) {
	s := newStandin(t, 10, 20*time.Millisecond)
	f := newForwarder(t, s.Address())
	b := newClient(t, lavenderridge.Address(f.listener.Addr().String()), 20, backendhttp.WithUnresponsiveTimeout(100*time.Millisecond))
	send := func(d time.Duration) error {
		c, x := context.WithTimeout(t.Context(), d)
		defer x()
		_, e := b.Handle(c, request("POST", "x"))
		return e
	}
	var g sync.WaitGroup
	for range 5 {
		g.Go(func() { _ = send(time.Second) })
	}
	g.Wait()
	f.stall()
	begun := time.Now()
	g.Go(func() { checkRefusal(t, send(time.Second), lavenderridge.OutcomeUnknown, lavenderridge.ReasonDeadline) })
	time.Sleep(200 * time.Millisecond)
	for i := range 5 {
		if e := send(time.Second); e != nil {
			t.Errorf("request %d after the stall: %v", i, e)
		}
	}
	t.Logf("new connections work %s after the stall", time.Since(begun).Round(time.Millisecond))
	g.Wait()
}

// TestReleasesEverything checks that a closed client leaves no goroutine behind.
func TestReleasesEverything(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	s := backendserver.NewServer("a", 10, time.Millisecond)
	if e := s.Start(); e != nil {
		t.Fatal(e)
	}
	b, e := backendhttp.NewClient(t.Context(), s.Address(), 10, lavenderridge.Mebibyte)
	if e != nil {
		t.Fatal(e)
	}
	for i := range 20 {
		if p, e := b.Handle(t.Context(), request("POST", fmt.Sprint(i))); e != nil || !strings.HasPrefix(string(p.Body), "a POST") {
			t.Fatalf("%+v, %v", p, e)
		}
	}
	_ = b.Close()
	s.Close()
}

// TestNotRunIsTrueUnderCancellation checks that no request that was refused as
// not run reaches the backend server. It cancels each request at about the
// moment at which it is sent.
func TestNotRunIsTrueUnderCancellation(t *testing.T) {
	s := newStandin(t, 100, time.Millisecond)
	b := newClient(t, s.Address(), 20)
	var mutex sync.Mutex
	notRun := map[lavenderridge.RequestID]bool{}
	var g sync.WaitGroup
	for i := range 16 {
		g.Go(func() {
			for j := range 500 {
				r := request("POST", "x")
				r.ID = lavenderridge.RequestID(fmt.Sprintf("%d-%d", i, j))
				c, f := context.WithCancel(t.Context())
				c = httptrace.WithClientTrace(c, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
					time.AfterFunc(time.Duration(j%100)*4*time.Microsecond, f)
				}})
				if _, e := b.Handle(c, r); e != nil && lavenderridge.AsRefusal(e).Outcome == lavenderridge.OutcomeNotRun {
					mutex.Lock()
					notRun[r.ID] = true
					mutex.Unlock()
				}
				f()
			}
		})
	}
	g.Wait()
	time.Sleep(200 * time.Millisecond)
	for id, n := range s.RunCounts() {
		if notRun[id] {
			t.Errorf("%s was refused as not run and ran %d times", id, n)
		}
	}
	t.Logf("%d refused as not run, %d ran", len(notRun), len(s.RunCounts()))
}

// TestOnlyFinalStatuses guards against a response whose status ends no request, such as an
// unasked switch of protocols, that reaches the caller and leaves its connection without a
// response.
func TestOnlyFinalStatuses(t *testing.T) {
	datadriven.RunTest(t, "testdata/statuses", func(t *testing.T, d *datadriven.TestData) string {
		head := strings.ReplaceAll(d.Input, "\n", "\r\n")
		s := newRawServer(t, func(i int64, c net.Conn, _ *http.Request) bool {
			if i > 1 {
				head = "HTTP/1.1 200 OK"
			}
			_, _ = io.WriteString(c, head+"\r\nContent-Length: 2\r\n\r\nok")
			return true
		})
		b := newClient(t, s.address(), 10)
		describe := func() string {
			c, f := context.WithTimeout(t.Context(), 5*time.Second)
			defer f()
			p, e := b.Handle(c, request("GET", ""))
			if e != nil {
				r := lavenderridge.AsRefusal(e)
				return fmt.Sprintf("%s %s", r.Reason, r.Outcome)
			}
			return fmt.Sprintf("%d %q", p.Status, p.Body)
		}
		return describe() + "\nnext: " + describe() + "\n"
	})
}
