package callerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

// countingHandler counts the requests that reach it.
type countingHandler struct{ runs int }

// Handle implements lavenderridge.Handler.
func (h *countingHandler) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	h.runs++
	return &lavenderridge.Response{ID: r.ID, Status: http.StatusOK, Body: fmt.Appendf(nil, "%d bytes", len(r.Body))}, nil
}

// TestHeads sends requests on one connection to a server that takes 20 fields and little
// memory for heads. It guards against refusals that don't say that nothing has run, and
// against bodies or later requests that are taken for a part of a head.
func TestHeads(t *testing.T) {
	datadriven.RunTest(t, "testdata/heads", func(t *testing.T, d *datadriven.TestData) string {
		m, n := 20, 0
		d.MaybeScanArgs(t, "fields", &m)
		d.MaybeScanArgs(t, "KiB", &n)
		l, e := net.Listen("tcp", "127.0.0.1:0")
		if e != nil {
			t.Fatal(e)
		}
		h := &countingHandler{}
		s := callerhttp.NewServer(l, h, lavenderridge.Mebibyte, callerhttp.WithMaxFields(m),
			callerhttp.WithClients(operator.NewClientTable(operator.ClientLimits{Memory: lavenderridge.ByteCount(n) * lavenderridge.Kibibyte}, nil)))
		c, f := context.WithCancel(context.Background())
		g := make(chan error, 1)
		go func() { g <- s.Run(c, time.Second) }()
		defer func() {
			f()
			if e := <-g; e != nil {
				t.Error(e)
			}
		}()
		x, e := net.Dial("tcp", l.Addr().String())
		if e != nil {
			t.Fatal(e)
		}
		defer func() { _ = x.Close() }()
		_ = x.SetDeadline(time.Now().Add(10 * time.Second))
		for i := range strings.Lines(d.Input) {
			var v string
			k := 1
			if _, e := fmt.Sscanf(strings.TrimSpace(i), "%d %q", &k, &v); e != nil {
				d.Fatalf(t, "%v", e)
			}
			_, _ = io.WriteString(x, strings.Repeat(v, k))
		}
		var b strings.Builder
		r := bufio.NewReader(x)
		for {
			p, e := http.ReadResponse(r, nil)
			if e != nil {
				break
			}
			o, _ := io.ReadAll(p.Body)
			_ = p.Body.Close()
			_, _ = fmt.Fprintf(&b, "%d %s %v\n", p.StatusCode, o, outcomeFields(p.Header))
			if p.Close {
				break
			}
		}
		return b.String() + fmt.Sprintf("%d ran\n", h.runs)
	})
}

// outcomeFields returns the fields of h about a refusal.
func outcomeFields(h http.Header) []string {
	var a []string
	for k, v := range h {
		if strings.HasPrefix(k, "X-Refusal") || k == "Retry-After" {
			a = append(a, k+": "+v[0])
		}
	}
	slices.Sort(a)
	return a
}
