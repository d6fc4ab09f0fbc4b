package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

type refusingHandler struct{}

func (refusingHandler) Handle(context.Context, *lavenderridge.Request) (*lavenderridge.Response, error) {
	return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNoRoute, "")
}

// TestBodyTimeout checks that a request whose body does not arrive completely
// in time is refused as not run.
func TestBodyTimeout(t *testing.T) {
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	s := NewServer(l, refusingHandler{}, lavenderridge.Mebibyte)
	s.bodyTimeout = 50 * time.Millisecond
	c, f := context.WithCancel(t.Context())
	d := make(chan error, 1)
	go func() { d <- s.Run(c, time.Second) }()
	n, e := net.Dial("tcp", l.Addr().String())
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = n.Close() }()
	_, _ = fmt.Fprint(n, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")
	_ = n.SetReadDeadline(time.Now().Add(2 * time.Second))
	p, e := http.ReadResponse(bufio.NewReader(n), nil)
	if e != nil {
		t.Fatal(e)
	}
	_ = p.Body.Close()
	if g := p.Header.Get(OutcomeHeader) + " " + p.Header.Get(ReasonHeader); g != "NotRun BadRequest" {
		t.Errorf("refused with %q; want NotRun BadRequest", g)
	}
	f()
	if e := <-d; e != nil {
		t.Error(e)
	}
}

type answeringHandler struct{}

func (answeringHandler) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	return &lavenderridge.Response{ID: r.ID, Status: http.StatusOK, Body: []byte(r.Caller)}, nil
}

// TestStopDelay checks that requests are still served during the stop delay,
// and that their responses then carry Connection: close. It also checks that
// the body limit of WithLimits applies.
func TestStopDelay(t *testing.T) {
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	s := NewServer(l, answeringHandler{}, lavenderridge.Mebibyte,
		WithStopDelay(300*time.Millisecond),
		WithCaller(func() lavenderridge.ServiceID { return "roster" }),
		WithLimits(func() lavenderridge.CallerLimits { return lavenderridge.CallerLimits{Body: 4} }),
	)
	c, f := context.WithCancel(t.Context())
	d := make(chan error, 1)
	go func() { d <- s.Run(c, time.Second) }()
	post := func(b string) (status int, closing bool) {
		t.Helper()
		q, e := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+"/a", strings.NewReader(b))
		if e != nil {
			t.Fatal(e)
		}
		p, e := http.DefaultClient.Do(q)
		if e != nil {
			t.Fatal(e)
		}
		_ = p.Body.Close()
		return p.StatusCode, p.Close
	}
	if n, o := post("four"); n != http.StatusOK || o {
		t.Errorf("status %d, connection closed %t", n, o)
	}
	if n, _ := post("fives"); n != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d for a body above the limit", n)
	}
	f()
	time.Sleep(100 * time.Millisecond)
	if n, o := post("four"); n != http.StatusOK || !o {
		t.Errorf("during the stop delay: status %d, connection closed %t", n, o)
	}
	if e := <-d; e != nil {
		t.Error(e)
	}
}

type countingHandler struct{ handled atomic.Int64 }

func (h *countingHandler) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	h.handled.Add(1)
	return &lavenderridge.Response{ID: r.ID, Status: http.StatusOK}, nil
}

// The requests were sent, and their callers left, before the daemon got to read them.
func TestRequestOfDepartedCallerIsNotHandled(t *testing.T) {
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	send := func(b string) net.Conn {
		t.Helper()
		n, e := net.Dial("tcp", l.Addr().String())
		if e != nil {
			t.Fatal(e)
		}
		if _, e := fmt.Fprintf(n, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(b), b); e != nil {
			t.Fatal(e)
		}
		return n
	}
	for range 20 {
		_ = send("").Close()
		_ = send("body").Close()
	}
	n := send("body")
	defer func() { _ = n.Close() }()
	h := &countingHandler{}
	s := NewServer(l, h, lavenderridge.Mebibyte)
	c, f := context.WithCancel(t.Context())
	d := make(chan error, 1)
	go func() { d <- s.Run(c, 5*time.Second) }()
	p, e := http.ReadResponse(bufio.NewReader(n), nil)
	if e != nil {
		t.Fatal(e)
	}
	_ = p.Body.Close()
	f()
	if e := <-d; e != nil {
		t.Error(e)
	}
	if k := h.handled.Load(); k != 1 {
		t.Errorf("%d requests were handled; want only that of the caller that waits", k)
	}
}
