package callerhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

// FuzzDoor guards against bytes of a stranger that end the server or that leave memory
// taken after their connection: an ordinary request is answered after each input.
func FuzzDoor(f *testing.F) {
	const chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, s := range []string{
		"", "\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\na:\r\na:\r\n", "GET / HTTP/1.1\nHost: a\n\nGET",
		chunked + "1\r\nx\r\n0\r\n\r\n", chunked + "1;a=b\r\nx\r\n0\r\nA: b\r\n\r\n", chunked + "ffffffffffffffff\r\nx", chunked + "-1\r\n", chunked + "1\r\nxy\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
	} {
		f.Add([]byte(s))
	}
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		f.Fatal(e)
	}
	k := operator.NewClientTable(operator.ClientLimits{Connections: 64, Memory: lavenderridge.Mebibyte}, nil)
	s := callerhttp.NewServer(l, benchmarkHandler{}, lavenderridge.Mebibyte, callerhttp.WithClients(k), callerhttp.WithMaxFields(100))
	c, g := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- s.Run(c, time.Second) }()
	f.Cleanup(func() {
		g()
		if e := <-d; e != nil {
			f.Error(e)
		}
	})
	h := &http.Client{Timeout: 5 * time.Second}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, e := net.Dial("tcp", l.Addr().String())
		if e != nil {
			t.Fatal(e)
		}
		_ = n.SetDeadline(time.Now().Add(time.Second))
		_, _ = n.Write(b)
		_ = n.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, n)
		_ = n.Close()
		p, e := h.Get("http://" + l.Addr().String() + "/")
		if e != nil {
			t.Fatal(e)
		}
		_, _ = io.Copy(io.Discard, p.Body)
		_ = p.Body.Close()
		if p.StatusCode != http.StatusOK {
			t.Errorf("status %d after %q", p.StatusCode, b)
		}
		for m := time.Now(); k.Used() > 0; time.Sleep(time.Millisecond) {
			if time.Since(m) > 5*time.Second {
				t.Fatalf("%d bytes are still taken after %q", k.Used(), b)
			}
		}
	})
}
