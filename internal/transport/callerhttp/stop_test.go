package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// pipeListener accepts connections in memory, so that it runs in a synctest bubble.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

var _ net.Listener = (*pipeListener)(nil)

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case n := <-l.accepted:
		return n, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 80}
}

func (l *pipeListener) dial() (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case l.accepted <- b:
		return a, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// workingHandler runs each request for a fixed time, also when its caller leaves.
type workingHandler struct{ work time.Duration }

func (h workingHandler) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	time.Sleep(h.work)
	return &lavenderridge.Response{ID: r.ID, Status: http.StatusOK}, nil
}

// stoppingServer is a server that is asked to stop at the time start and killed after
// the grace time.
type stoppingServer struct {
	listener *pipeListener
	start    time.Time
	exited   chan struct{}
}

// TestLateRequests sends requests around a planned stop and prints what their callers
// get. A request that has been passed on must be answered unless it arrived within the
// first 3 s and lasts into the last sixth of the grace time.
func TestLateRequests(t *testing.T) {
	datadriven.RunTest(t, "testdata/laterequests", func(t *testing.T, d *datadriven.TestData) string {
		var g, w string
		d.ScanArgs(t, "grace", &g)
		d.ScanArgs(t, "work", &w)
		var b strings.Builder
		synctest.Test(t, func(t *testing.T) { b.WriteString(playStop(t, parse(t, g), parse(t, w), strings.Split(d.Input, "\n"))) })
		return b.String()
	})
}

func parse(t *testing.T, s string) time.Duration {
	t.Helper()
	d, e := time.ParseDuration(s)
	if e != nil {
		t.Fatal(e)
	}
	return d
}

// playStop stops a server whose requests run for w, and returns the results of the
// requests a, each "KIND TIME".
func playStop(t *testing.T, g, w time.Duration, a []string) string {
	p := operator.NewStopPlan(g)
	l := newPipeListener()
	s := NewServer(l, workingHandler{work: w}, lavenderridge.Mebibyte, WithStopDelay(p.Delay))
	c, f := context.WithCancel(t.Context())
	u := &stoppingServer{listener: l, start: time.Now().Add(time.Second), exited: make(chan struct{})}
	d := make(chan error, 1)
	go func() { d <- s.Run(c, p.Timeout) }()
	r := make([]chan string, len(a))
	for i, v := range a {
		r[i] = make(chan string, 1)
		k, x, _ := strings.Cut(v, " ")
		m := parse(t, x)
		go func() { r[i] <- u.request(k, m) }()
	}
	time.Sleep(time.Second)
	f()
	if e := <-d; e != nil {
		t.Log(e) // requests were still running
	}
	// The process exits: the connections that are left end with it.
	_ = s.Close()
	close(u.exited)
	var b strings.Builder
	for i, v := range a {
		fmt.Fprintf(&b, "%s: %s\n", v, <-r[i])
	}
	time.Sleep(w) // handlers still sleep
	return b.String()
}

// request sends a request the time d after the stop has begun and returns its result:
// on a connection that was opened then (new), just before that (kept), or with a body
// whose last byte is sent at that time (slow).
func (u *stoppingServer) request(k string, d time.Duration) string {
	t := u.start.Add(d)
	opened := map[string]time.Duration{"kept": 200 * time.Millisecond, "slow": time.Second}[k]
	time.Sleep(time.Until(t.Add(-opened)))
	n, e := u.listener.dial()
	if e != nil {
		return "refused connection"
	}
	defer func() { _ = n.Close() }()
	if k == "slow" {
		if _, e := fmt.Fprint(n, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na"); e != nil {
			return "closed unread"
		}
	}
	time.Sleep(time.Until(t))
	m := "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	if k == "slow" {
		m = "b"
	}
	if _, e := fmt.Fprint(n, m); e != nil {
		return "closed unread"
	}
	p, e := http.ReadResponse(bufio.NewReader(n), nil)
	if e != nil {
		return fmt.Sprintf("cut at %s", time.Since(u.start).Round(100*time.Millisecond))
	}
	_ = p.Body.Close()
	return fmt.Sprintf("%d %s at %s", p.StatusCode, p.Header.Get(OutcomeHeader), time.Since(u.start).Round(100*time.Millisecond))
}
