package backendserver_test

import (
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// TestFailureThrottle checks that a few failures cause no refusals, that many
// failures cause the refusal of most requests but never of all, and that the
// throttle recovers.
func TestFailureThrottle(t *testing.T) {
	r := 0.0
	f := backendserver.NewFailureThrottle(func() float64 { r += 0.0625; return r - float64(int(r)) })
	n := time.Unix(1000, 0)
	admitted := func() int {
		c := 0
		for range 160 {
			if f.Admit("e", n) {
				c++
			}
		}
		return c
	}
	for range 3 {
		f.Observe("e", false, n)
	}
	if c := admitted(); c != 160 {
		t.Errorf("%d of 160 requests admitted after three failures; want all", c)
	}
	for range 40 {
		f.Observe("e", false, n)
	}
	if c := admitted(); c == 0 || c > 30 {
		t.Errorf("%d of 160 requests admitted while all fail; want 1 to 30", c)
	}
	n = n.Add(10 * time.Second)
	if c := admitted(); c != 160 {
		t.Errorf("%d of 160 requests admitted after ten seconds; want all", c)
	}
}
