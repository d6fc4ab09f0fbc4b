package lavenderridge_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge/internal/cmd/lavenderridge"
)

// datePattern matches what differs between two runs of a session.
var datePattern = regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d UTC`)

// TestSessions runs each file of testdata/session: files are written into an
// empty directory, and command lines are run there.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/session", func(t *testing.T, p string) {
		d := t.TempDir()
		names := map[string]string{"DIR": d}
		datadriven.RunTest(t, p, func(t *testing.T, x *datadriven.TestData) string {
			switch x.Cmd {
			case "file":
				writeFile(t, filepath.Join(d, x.CmdArgs[0].Key), expand(names, x.Input))
				return ""
			case "listen":
				names[x.CmdArgs[0].Key] = occupyAddress(t)
				return ""
			case "run":
				return runSession(names, x.Input)
			case "free":
				names[x.CmdArgs[0].Key] = freeAddress(t)
				return ""
			case "operator":
				n := x.CmdArgs[0].Key
				names[n] = startOperator(t, x.Input)
				return ""
			case "size":
				return describeSize(t, filepath.Join(d, x.CmdArgs[0].Key))
			case "modes":
				return fileModes(t, d)
			default:
				t.Fatalf("unknown command %s", x.Cmd)
				return ""
			}
		})
	})
}

func writeFile(t *testing.T, p, s string) {
	t.Helper()
	if e := os.MkdirAll(filepath.Dir(p), 0o700); e != nil {
		t.Fatal(e)
	}
	if e := os.WriteFile(p, []byte(s+"\n"), 0o600); e != nil {
		t.Fatal(e)
	}
}

// startOperator starts a server that answers each path with a fixed body: a
// line of s holds the path and the body.
func startOperator(t *testing.T, s string) string {
	t.Helper()
	m := http.NewServeMux()
	for l := range strings.Lines(s) {
		p, b, _ := strings.Cut(strings.TrimSpace(l), " ")
		m.HandleFunc(p, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, b) })
	}
	h := httptest.NewServer(m)
	t.Cleanup(h.Close)
	return strings.TrimPrefix(h.URL, "http://")
}

// expand puts the values of m in the place of its keys in s.
func expand(m map[string]string, s string) string {
	for k, v := range m {
		s = strings.ReplaceAll(s, k, v)
	}
	return s
}

// occupyAddress returns an address on which the test itself listens.
func occupyAddress(t *testing.T) string {
	t.Helper()
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// runSession runs each line of s as a command line. The keys of m stand for
// their values in command lines and in the output.
func runSession(m map[string]string, s string) string {
	var b strings.Builder
	for l := range strings.Lines(s) {
		var w, x bytes.Buffer
		n := lavenderridge.Run(strings.Fields(expand(m, l)), &w, &x)
		o := datePattern.ReplaceAllString(w.String()+x.String(), "DATE")
		for k, v := range m {
			o = strings.ReplaceAll(o, v, k)
		}
		fmt.Fprintf(&b, "%sexit %d\n", o, n)
	}
	return b.String()
}

// describeSize tells whether the file p has content.
func describeSize(t *testing.T, p string) string {
	t.Helper()
	i, e := os.Stat(p)
	if e != nil {
		return "none\n"
	}
	return fmt.Sprintf("more than 1000 bytes: %t\n", i.Size() > 1000)
}

func fileModes(t *testing.T, d string) string {
	t.Helper()
	var b strings.Builder
	e := filepath.Walk(d, func(p string, i os.FileInfo, e error) error {
		if e == nil && !i.IsDir() {
			fmt.Fprintf(&b, "%s %s\n", i.Mode(), strings.TrimPrefix(p, d+"/"))
		}
		return e
	})
	if e != nil {
		t.Fatal(e)
	}
	return b.String()
}
