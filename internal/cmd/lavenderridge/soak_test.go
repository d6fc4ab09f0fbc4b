package lavenderridge_test

import (
	"bufio"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestSoakSeeds guards against the return of faults that the soak has found: it
// runs the soak with the seeds of testdata/soak/seeds.
func TestSoakSeeds(t *testing.T) {
	b := buildBinary(t)
	f, e := os.Open("testdata/soak/seeds")
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		n, _, _ := strings.Cut(s.Text(), " ")
		if n == "#" {
			continue
		}
		t.Run(n, func(t *testing.T) {
			d := t.TempDir()
			o, e := exec.Command(b, "soak", "--seed", n, "--duration", "12s", "--keep", d).CombinedOutput()
			t.Logf("%s", o)
			if e != nil {
				t.Errorf("seed %s: %v", n, e)
			}
		})
	}
}
