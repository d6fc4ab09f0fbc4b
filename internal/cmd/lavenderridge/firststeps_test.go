package lavenderridge_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

const (
	repository        = "../../.."
	firstStepsTimeout = 90 * time.Second
)

var (
	exampleAddress = regexp.MustCompile(`127\.0\.0\.1:7\d\d\d`)
	servedBy       = regexp.MustCompile(`(?i)x-served-by: (\S+)`)
)

// TestFirstSteps guards against a page of first steps that does not work. It
// runs the commands of docs/user/first-steps.md and the files of examples
// unchanged except for the ports, with each daemon as a process of its own.
func TestFirstSteps(t *testing.T) {
	d := t.TempDir()
	ports := map[string]string{}
	copyExamples(t, d, ports)
	s := shellBlocks(readFile(t, filepath.Join(repository, "docs/user/first-steps.md")))
	// Every process that the page stops must exit with 0.
	s = "set -e\n" + strings.Replace(s, "kill %1", "P=$(jobs -p)\nkill %1", 1) + "for p in $P; do wait $p; done\n"
	c := exec.CommandContext(t.Context(), "bash", "-c", replacePorts(t, s, ports))
	c.Dir = d
	c.Env = append(os.Environ(), "PATH="+filepath.Dir(buildBinary(t))+":"+os.Getenv("PATH"))
	c.WaitDelay = firstStepsTimeout
	b, e := c.CombinedOutput()
	if e != nil {
		t.Fatalf("%v\n%s", e, b)
	}
	m := servedBy.FindAllStringSubmatch(string(b), -1)
	if len(m) != 2 || m[1][1] != "roster-2" {
		t.Errorf("served by %v; want two responses, the second by roster-2\n%s", m, b)
	}
	for _, x := range []string{"no findings in 4 files", "VersionAccepted", "alert: None, from 2 daemons"} {
		if !strings.Contains(string(b), x) {
			t.Errorf("the output lacks %q\n%s", x, b)
		}
	}
}

func readFile(t *testing.T, p string) string {
	t.Helper()
	b, e := os.ReadFile(p)
	if e != nil {
		t.Fatal(e)
	}
	return string(b)
}

// shellBlocks returns the content of the ```sh blocks of the page s.
func shellBlocks(s string) string {
	var b strings.Builder
	in := false
	for l := range strings.Lines(s) {
		switch {
		case strings.HasPrefix(l, "```"):
			in = strings.HasPrefix(l, "```sh")
		case in:
			b.WriteString(l)
		}
	}
	return b.String()
}

// copyExamples copies the examples into the directory d, with ports replaced as
// by replacePorts.
func copyExamples(t *testing.T, d string, ports map[string]string) {
	t.Helper()
	a, e := filepath.Glob(filepath.Join(repository, "examples", "*.*"))
	if e != nil {
		t.Fatal(e)
	}
	if e := os.Mkdir(filepath.Join(d, "examples"), 0o700); e != nil {
		t.Fatal(e)
	}
	for _, p := range a {
		s := replacePorts(t, readFile(t, p), ports)
		if e := os.WriteFile(filepath.Join(d, "examples", filepath.Base(p)), []byte(s), 0o600); e != nil {
			t.Fatal(e)
		}
	}
}

// replacePorts replaces each example address in s by a free address. The map
// ports contains the replacements so far, so that an address gets the same one
// everywhere.
func replacePorts(t *testing.T, s string, ports map[string]string) string {
	t.Helper()
	return exampleAddress.ReplaceAllStringFunc(s, func(a string) string {
		if ports[a] == "" {
			ports[a] = freeAddress(t)
		}
		return ports[a]
	})
}
