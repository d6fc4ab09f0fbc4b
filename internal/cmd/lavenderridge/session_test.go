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

// datePattern matches the times in the output, which differ between two runs.
var datePattern = regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d UTC`)

// TestSessions compares the output and exit codes of command lines with the
// golden files of testdata/session. The commands of a golden file run in order
// and share an empty directory, DIR. "file" writes a file there, "listen" and
// "free" name an address in use and a free one, "operator" starts a server with
// fixed responses, "run" runs command lines, and "size" and "modes" describe
// the files that they have written.
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

// startOperator starts a server with a fixed response body for each path and
// returns its address. Each line of s contains a path and its body.
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

// expand replaces the keys of m by their values in s.
func expand(m map[string]string, s string) string {
	for k, v := range m {
		s = strings.ReplaceAll(s, k, v)
	}
	return s
}

// occupyAddress returns an address on which the test listens until its end.
func occupyAddress(t *testing.T) string {
	t.Helper()
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// runSession runs each line of s as a command line and returns the outputs and
// exit codes. It replaces the keys of m by their values in the command lines,
// and the values by the keys in the output.
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

// describeSize reports whether the file p exists and has more than 1000 bytes,
// as every plot does.
func describeSize(t *testing.T, p string) string {
	t.Helper()
	i, e := os.Stat(p)
	if e != nil {
		return "none\n"
	}
	return fmt.Sprintf("more than 1000 bytes: %t\n", i.Size() > 1000)
}

// fileModes returns the mode and path of each file below the directory d.
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
