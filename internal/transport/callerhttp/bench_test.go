package callerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

// benchmarkServer serves h until the end of the benchmark and returns its address.
func benchmarkServer(b *testing.B, h lavenderridge.Handler) string {
	b.Helper()
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		b.Fatal(e)
	}
	s := callerhttp.NewServer(l, h, lavenderridge.Mebibyte)
	c, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- s.Run(c, time.Second) }()
	b.Cleanup(func() {
		f()
		if e := <-d; e != nil {
			b.Error(e)
		}
	})
	return l.Addr().String()
}

// BenchmarkRequest measures a usual request on a kept connection, with its caller.
func BenchmarkRequest(b *testing.B) {
	a := benchmarkServer(b, benchmarkHandler{})
	n, e := net.Dial("tcp", a)
	if e != nil {
		b.Fatal(e)
	}
	defer func() { _ = n.Close() }()
	r := bufio.NewReader(n)
	q := "GET /roster/1 HTTP/1.1\r\nHost: a\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Request-Id: 1\r\nX-Request-Timeout-Ms: 1000\r\nTraceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n\r\n"
	b.ReportAllocs()
	for b.Loop() {
		if _, e := io.WriteString(n, q); e != nil {
			b.Fatal(e)
		}
		p, e := http.ReadResponse(r, nil)
		if e != nil {
			b.Fatal(e)
		}
		_, _ = io.Copy(io.Discard, p.Body)
	}
}

// benchmarkHandler answers at once.
type benchmarkHandler struct{}

// Handle implements lavenderridge.Handler.
func (benchmarkHandler) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	return &lavenderridge.Response{ID: r.ID, Status: http.StatusOK, Body: []byte("ok")}, nil
}

// BenchmarkHeld measures what connections hold, by what their clients have sent.
func BenchmarkHeld(b *testing.B) {
	head := func(k int, f func(j int) string) string {
		var s strings.Builder
		s.WriteString("POST /roster/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n")
		for j := 0; s.Len() < k<<10; j++ {
			s.WriteString(f(j))
		}
		return s.String() + "\r\nx"
	}
	names := func(j int) string { return fmt.Sprintf("%x:\r\n", j) }
	same := func(int) string { return "a:\r\n" }
	for _, c := range []struct{ name, text string }{
		{"silent", ""},
		{"usual head", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx"},
		{"names 4 KiB", head(4, names)},
		{"names 16 KiB", head(16, names)},
		{"names 60 KiB", head(60, names)},
		{"one name 16 KiB", head(16, same)},
		{"one name 60 KiB", head(60, same)},
		{"body 100 KiB", fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 100<<10, strings.Repeat("x", 99<<10))},
	} {
		b.Run(c.name, func(b *testing.B) {
			const clients = 100
			a := benchmarkServer(b, benchmarkHandler{})
			for b.Loop() {
				m := memoryInUse()
				var open []net.Conn
				for range clients {
					n, e := net.Dial("tcp", a)
					if e != nil {
						b.Fatal(e)
					}
					if _, e := io.WriteString(n, c.text); e != nil {
						b.Fatal(e)
					}
					open = append(open, n)
				}
				time.Sleep(300 * time.Millisecond)
				b.ReportMetric(float64(memoryInUse()-m)/clients, "bytes/connection")
				for _, n := range open {
					_ = n.Close()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// memoryInUse returns the memory of live objects and of stacks.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
