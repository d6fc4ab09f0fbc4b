package assembly_test

import (
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
)

// TestSystemSteadyClock checks that the clock advances as the monotonic one does while the
// machine is not suspended.
func TestSystemSteadyClock(t *testing.T) {
	k, e := assembly.NewSystemSteadyClock()
	if e != nil {
		t.Fatal(e)
	}
	b, s := time.Now(), k.Elapsed()
	time.Sleep(20 * time.Millisecond)
	if d := k.Elapsed() - s; d < 20*time.Millisecond || d > time.Since(b)+time.Millisecond {
		t.Errorf("%s in 20ms", d)
	}
	if n := testing.AllocsPerRun(100, func() { k.Elapsed() }); n > 0 {
		t.Errorf("%g allocations", n)
	}
}

func BenchmarkSystemSteadyClock(b *testing.B) {
	k := assembly.SystemSteadyClock{}
	for b.Loop() {
		k.Elapsed()
	}
}
