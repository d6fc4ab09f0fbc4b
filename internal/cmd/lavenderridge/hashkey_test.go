package lavenderridge_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestHashKey checks that the hash that the command prints is accepted in a catalogue, and
// that a key in place of its hash is rejected without being shown.
func TestHashKey(t *testing.T) {
	p, d := buildBinary(t), t.TempDir()
	run := func(s string, a ...string) (string, error) {
		c := exec.Command(p, a...)
		c.Stdin = strings.NewReader(s)
		b, e := c.CombinedOutput()
		return string(b), e
	}
	check := func(k string) (string, error) {
		writeFile(t, filepath.Join(d, "catalogue.toml"), "[[Customers]]\nID = \"a\"\nKeys = [\""+k+"\"]")
		return run("", "check", filepath.Join(d, "catalogue.toml"))
	}
	h, e := run("secret-1\n", "hash-key")
	if e != nil || len(h) != 65 || strings.Contains(h, "secret") {
		t.Fatalf("%q, %v", h, e)
	}
	if v, e := run(" secret-1", "hash-key"); e != nil || v != h {
		t.Errorf("%q, %v; want %q", v, e, h)
	}
	if s, e := check(strings.TrimSpace(h)); e != nil {
		t.Errorf("%s, %v", s, e)
	}
	if s, e := check("secret-1"); e == nil || strings.Contains(s, "secret") {
		t.Errorf("%s, %v; want a finding that doesn't show the key", s, e)
	}
	if s, e := run("\n", "hash-key"); e == nil {
		t.Errorf("%q without a key", s)
	}
}
