package backendhttp_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

// earlyServer responds to uploads before it has read them.
type earlyServer struct {
	// read is how much of an upload is read before the response, in bytes; all of it if
	// negative.
	read int64
	// response is the whole response, or the part of it that is sent.
	response string
	// wait is the time between the response and what end does.
	wait time.Duration
	end  func(c *net.TCPConn, rest io.Reader)
}

func (s *earlyServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		q, e := http.ReadRequest(b)
		if e != nil {
			return
		}
		if s.read < 0 {
			_, _ = io.Copy(io.Discard, q.Body)
		} else {
			_, _ = io.CopyN(io.Discard, q.Body, s.read)
		}
		_, _ = io.WriteString(c, s.response)
		time.Sleep(s.wait)
		s.end(c, q.Body)
	}
}

// earlyEnds are the ways in which an earlyServer ends a response.
var earlyEnds = map[string]func(c *net.TCPConn, rest io.Reader){
	"reset": func(c *net.TCPConn, _ io.Reader) {
		_ = c.SetLinger(0)
		_ = c.Close()
	},
	// The kernel resets the connection if part of the upload hasn't been read.
	"close": func(c *net.TCPConn, _ io.Reader) { _ = c.Close() },
	"close-after-upload": func(c *net.TCPConn, r io.Reader) {
		_, _ = io.Copy(io.Discard, r)
		_ = c.Close()
	},
	"half-close": func(c *net.TCPConn, r io.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	},
	"keep": func(_ *net.TCPConn, r io.Reader) { _, _ = io.Copy(io.Discard, r) },
}

// earlyRuns is how often each case is played, as the moment of the reset among the writes
// varies.
const earlyRuns = 12

// TestEarlyResponses guards against a part of a response that reaches the caller as the
// complete response. A backend server sends it without a length, and resets the connection
// while the request is still being written. Early responses that are complete are returned.
func TestEarlyResponses(t *testing.T) {
	datadriven.RunTest(t, "testdata/earlyresponses", func(t *testing.T, d *datadriven.TestData) string {
		var end, wait string
		var size int
		s := &earlyServer{response: unquote(t, d.Input)}
		d.ScanArgs(t, "upload", &size)
		d.ScanArgs(t, "end", &end)
		d.MaybeScanArgs(t, "read", &s.read)
		if d.MaybeScanArgs(t, "wait", &wait) {
			s.wait, _ = time.ParseDuration(wait)
		}
		s.end = earlyEnds[end]
		l := acceptEach(t, func(c net.Conn) { s.serve(c.(*net.TCPConn)) })
		b := newClient(t, lavenderridge.Address(l.Addr().String()), 10*earlyRuns, backendhttp.WithProtocol(unframedProtocol{}))
		n := make(map[string]int)
		for range earlyRuns {
			n[upload(t, b, size)]++
		}
		var o strings.Builder
		for _, k := range slices.Sorted(maps.Keys(n)) {
			_, _ = fmt.Fprintf(&o, "%d times %s\n", n[k], k)
		}
		return o.String()
	})
}

func unquote(t *testing.T, s string) string {
	t.Helper()
	v, e := strconv.Unquote(s)
	if e != nil {
		t.Fatalf("%s: %v", s, e)
	}
	return v
}

// upload sends an upload of n bytes to b and describes the response.
func upload(t *testing.T, b *backendhttp.Client, n int) string {
	t.Helper()
	c, f := context.WithTimeout(t.Context(), 10*time.Second)
	defer f()
	r := request("POST", "")
	r.Body = bytes.Repeat([]byte{'u'}, n)
	return outcomeOf(b.Handle(c, r))
}
