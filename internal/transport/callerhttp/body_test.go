package callerhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// holdingHandler holds requests to /hold until it is released.
type holdingHandler struct{ begun, release chan struct{} }

func (h *holdingHandler) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	if r.Path == "/hold" {
		h.begun <- struct{}{}
		<-h.release
	}
	return &lavenderridge.Response{ID: r.ID, Status: http.StatusOK, Body: fmt.Append(nil, len(r.Body))}, nil
}

// send sends a body of n bytes, with its length unless it is sent in chunks.
func send(t *testing.T, a net.Addr, path string, n int, chunked bool) string {
	t.Helper()
	var b io.Reader = bytes.NewReader(make([]byte, n))
	if chunked {
		b = io.MultiReader(b)
	}
	l := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	p, e := l.Post("http://"+a.String()+path, "application/octet-stream", b)
	if e != nil {
		return e.Error()
	}
	v, e := io.ReadAll(p.Body)
	if e != nil {
		return e.Error()
	}
	_ = p.Body.Close()
	if p.StatusCode != http.StatusOK {
		v = nil
	}
	return strings.TrimSpace(fmt.Sprintf("status %d %s%s %s %s", p.StatusCode, v, p.Header.Get(OutcomeHeader), p.Header.Get(ReasonHeader), p.Header.Get("Retry-After")))
}

// TestBodiesStayWithinTheirMemory guards against a daemon that is killed because it reads
// more bodies than it has memory for, and requests that are refused with no reason.
func TestBodiesStayWithinTheirMemory(t *testing.T) {
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	k := operator.NewBodyBudget(20 * lavenderridge.Mebibyte)
	h := &holdingHandler{begun: make(chan struct{}), release: make(chan struct{})}
	s := NewServer(l, h, 16*lavenderridge.Mebibyte, WithBodies(k))
	c, f := context.WithCancel(t.Context())
	d := make(chan error, 1)
	go func() { d <- s.Run(c, 5*time.Second) }()
	held := make(chan string)
	datadriven.RunTest(t, "testdata/bodymemory", func(t *testing.T, d *datadriven.TestData) string {
		n := 0
		d.MaybeScanArgs(t, "KiB", &n)
		n *= int(lavenderridge.Kibibyte)
		switch d.Cmd {
		case "hold":
			go func() { held <- send(t, l.Addr(), "/hold", n, d.HasArg("chunked")) }()
			<-h.begun
			return fmt.Sprintf("%d KiB in use\n", k.Used()/lavenderridge.Kibibyte)
		case "release":
			h.release <- struct{}{}
			return <-held + "\n"
		}
		return send(t, l.Addr(), "/", n, d.HasArg("chunked")) + "\n"
	})
	f()
	if e := <-d; e != nil {
		t.Error(e)
	}
	if n := k.Used(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}
