package lavenderridge_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge/internal/cmd/lavenderridge"
)

// dates matches what differs between two runs of a session.
var dates = regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d UTC`)

// TestSessions runs each file of testdata/session: files are written into an
// empty directory, and command lines are run there.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/session", func(t *testing.T, p string) {
		d := t.TempDir()
		datadriven.RunTest(t, p, func(t *testing.T, x *datadriven.TestData) string {
			switch x.Cmd {
			case "file":
				writeFile(t, filepath.Join(d, x.CmdArgs[0].Key), x.Input)
				return ""
			case "run":
				return runSession(d, x.Input)
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

// runSession runs each line of s as a command line, in which DIR stands for
// the directory d.
func runSession(d, s string) string {
	var b strings.Builder
	for l := range strings.Lines(s) {
		var w, x bytes.Buffer
		n := lavenderridge.Run(strings.Fields(strings.ReplaceAll(l, "DIR", d)), &w, &x)
		o := strings.ReplaceAll(w.String()+x.String(), d, "DIR")
		fmt.Fprintf(&b, "%sexit %d\n", dates.ReplaceAllString(o, "DATE"), n)
	}
	return b.String()
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
