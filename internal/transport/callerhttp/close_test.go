package callerhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

// largeHandler answers with a large body, requests for /hold only once it is released.
type largeHandler struct{ begun, release chan struct{} }

// Handle implements lavenderridge.Handler.
func (h *largeHandler) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	if r.Path == "/hold" {
		h.begun <- struct{}{}
		<-h.release
	}
	return &lavenderridge.Response{ID: r.ID, Status: http.StatusOK, Body: make([]byte, 30_000)}, nil
}

// dialWithSmallWindow connects to a as a client that receives little at a time.
func dialWithSmallWindow(t *testing.T, a net.Addr) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(f uintptr) { _ = syscall.SetsockoptInt(int(f), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
	}}
	n, e := d.Dial("tcp", a.String())
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = n.Close() })
	_ = n.SetDeadline(time.Now().Add(10 * time.Second))
	return n
}

// TestClosesLoseNoAnswer guards against answers that end early because their connection
// is closed, and thus reset, while the client has sent more than the server reads.
func TestClosesLoseNoAnswer(t *testing.T) {
	datadriven.RunTest(t, "testdata/closes", func(t *testing.T, d *datadriven.TestData) string {
		l, e := net.Listen("tcp", "127.0.0.1:0")
		if e != nil {
			t.Fatal(e)
		}
		h := &largeHandler{begun: make(chan struct{}), release: make(chan struct{})}
		s := callerhttp.NewServer(l, h, lavenderridge.Mebibyte, callerhttp.WithMaxFields(20))
		c, f := context.WithCancel(t.Context())
		defer f()
		g := make(chan error, 1)
		go func() { g <- s.Run(c, 5*time.Second) }()
		x := dialWithSmallWindow(t, l.Addr())
		for i := range strings.Lines(d.Input) {
			k, v, _ := strings.Cut(strings.TrimSpace(i), " ")
			switch k {
			case "send":
				var m string
				n := 1
				if _, e := fmt.Sscanf(v, "%d %q", &n, &m); e != nil {
					d.Fatalf(t, "%v", e)
				}
				_, _ = io.WriteString(x, strings.Repeat(m, n))
			case "begun":
				<-h.begun
			case "release":
				h.release <- struct{}{}
			case "stop":
				f()
			case "wait":
				time.Sleep(300 * time.Millisecond)
			}
		}
		v := readSlowly(x)
		_ = x.Close()
		f()
		if e := <-g; e != nil {
			t.Error(e)
		}
		return v
	})
}

// readSlowly returns what a slow client gets until the connection n ends.
func readSlowly(n net.Conn) string {
	var b strings.Builder
	r := bufio.NewReaderSize(slowReader{n}, 1250)
	for {
		p, e := http.ReadResponse(r, nil)
		switch {
		case errors.Is(e, io.EOF) || errors.Is(e, io.ErrUnexpectedEOF):
			return b.String() + "closed\n"
		case e != nil:
			return b.String() + "reset\n"
		}
		v, _ := io.ReadAll(p.Body)
		_ = p.Body.Close()
		_, _ = fmt.Fprintf(&b, "%d: %d of %d bytes\n", p.StatusCode, len(v), p.ContentLength)
	}
}

// slowReader reads at the rate of a slow link.
type slowReader struct{ net.Conn }

// Read implements io.Reader.
func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.Conn.Read(b)
}
