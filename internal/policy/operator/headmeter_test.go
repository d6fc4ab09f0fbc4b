package operator_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// headOf returns the input of d with the escapes of Go, each line without its end.
func headOf(t *testing.T, d *datadriven.TestData) []byte {
	t.Helper()
	var b bytes.Buffer
	for l := range strings.Lines(d.Input) {
		var s string
		if _, e := fmt.Sscanf(strings.TrimSpace(l), "%q", &s); e != nil {
			d.Fatalf(t, "%v", e)
		}
		b.WriteString(s)
	}
	return b.Bytes()
}

// TestHeadMeter counts heads that arrive in pieces, one a line.
func TestHeadMeter(t *testing.T) {
	var m operator.HeadMeter
	datadriven.RunTest(t, "testdata/headmeter", func(t *testing.T, d *datadriven.TestData) string {
		l := operator.HeadLimits{}
		n := 1
		for _, a := range d.CmdArgs {
			var v int
			a.Scan(t, 0, &v)
			switch a.Key {
			case "bytes":
				l.Bytes = lavenderridge.ByteCount(v)
			case "fields":
				l.Fields = v
			case "times":
				n = v
			}
		}
		m.Reset()
		b := headOf(t, d)
		o := false
		for range n {
			o = m.Add(b)
		}
		return fmt.Sprintf("ended %t, exceeds %t, %d bytes beyond a usual head\n", o, m.Exceeds(l), m.Memory())
	})
}

// TestHeadMeterInPieces guards against counts that depend on how a head is cut on its way.
func TestHeadMeterInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"\r", "\n", "\r\n", "a:", " ", "b", "GET / HTTP/1.1\r\n"})).Draw(t, "parts"), ""))
		var w, p operator.HeadMeter
		o := w.Add(b)
		for r := b; len(r) > 0; {
			n := rapid.IntRange(1, len(r)).Draw(t, "piece")
			p.Add(r[:n])
			r = r[n:]
		}
		if p != w {
			t.Fatalf("%q: %+v in pieces; want %+v (ended %t)", b, p, w, o)
		}
	})
}

// FuzzHeadMeter guards against heads that the library reads with more fields than the
// meter has counted.
func FuzzHeadMeter(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\nHost: a\na:\na:\n\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\td\r\n\r\nbody\n\n", "GET / HTTP/1.1\r\n\r\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nA: \r\r\nB:\n\r\n",
		"GET / HTTP/1.0\n\n", "GET / HTTP/1.1\r\nHost: a\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		q, e := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if e != nil {
			return
		}
		n := 0
		for _, v := range q.Header {
			n += len(v)
		}
		var m operator.HeadMeter
		m.Add(b)
		// A limit of zero would be none.
		if n > 1 && !m.Exceeds(operator.HeadLimits{Fields: n - 1}) {
			t.Errorf("fewer than %d fields counted in %q", n, b)
		}
	})
}
