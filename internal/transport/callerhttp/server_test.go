package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

type refusingHandler struct{}

func (refusingHandler) Handle(context.Context, *lavenderridge.Request) (*lavenderridge.Response, error) {
	return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNoRoute, "")
}

// TestBodyTimeout checks that a caller that stops in the middle of its body is
// told that the request has not run.
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
