package lavenderridge_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/lavenderridge/lavenderridge/internal/cmd/lavenderridge"
)

// TestTry runs the whole trial. The command exits with 0 only if every step
// held, and must report all 10 steps as kept.
func TestTry(t *testing.T) {
	var w, x bytes.Buffer
	if n := lavenderridge.Run([]string{"try"}, &w, &x); n != 0 {
		t.Fatalf("exit code %d\n%s%s", n, &w, &x)
	}
	if n := strings.Count(w.String(), "kept\n"); n != 10 {
		t.Errorf("%d steps kept; want 10\n%s", n, &w)
	}
}
