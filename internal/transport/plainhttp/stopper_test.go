package plainhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// TestStopper checks that Stop waits for a running request, but not for a
// connection on which no byte has arrived.
func TestStopper(t *testing.T) {
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	b := make(chan struct{})
	a := NewListener(l, operator.NewClientTable(operator.ClientLimits{}, nil), nil, 0)
	h := kratoshttp.NewServer(kratoshttp.Listener(a), kratoshttp.Timeout(0), kratoshttp.Filter(func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(b)
			time.Sleep(300 * time.Millisecond)
			_, _ = fmt.Fprint(w, "whole")
		})
	}))
	s := NewStopper(h, a)
	d := make(chan error, 1)
	go func() { d <- h.Start(context.Background()) }()
	var v [2]net.Conn
	for i := range v {
		if v[i], e = net.Dial("tcp", l.Addr().String()); e != nil {
			t.Fatal(e)
		}
		defer func() { _ = v[i].Close() }()
	}
	_, _ = fmt.Fprint(v[0], "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-b
	c, f := context.WithTimeout(t.Context(), 10*time.Second)
	defer f()
	n := time.Now()
	if e := s.Stop(c, h); e != nil {
		t.Error(e)
	}
	if v := time.Since(n); v < 200*time.Millisecond || v > 2*time.Second {
		t.Errorf("stopped after %s; want a little more than the request takes", v)
	}
	p, e := http.ReadResponse(bufio.NewReader(v[0]), nil)
	if e != nil || p.ContentLength != 5 {
		t.Errorf("the running request got %+v, %v", p, e)
	}
	if e := <-d; e != nil {
		t.Error(e)
	}
}
