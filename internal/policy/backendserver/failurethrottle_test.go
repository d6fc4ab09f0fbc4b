package backendserver_test

import (
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// TestFailureThrottle checks that few failures refuse nothing, that many refuse
// a part, that some requests always pass, and that it recovers.
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
		f.Ended("e", false, n)
	}
	if c := admitted(); c != 160 {
		t.Errorf("%d of 160 after three failures", c)
	}
	for range 40 {
		f.Ended("e", false, n)
	}
	if c := admitted(); c == 0 || c > 30 {
		t.Errorf("%d of 160 while all fail", c)
	}
	n = n.Add(10 * time.Second)
	if c := admitted(); c != 160 {
		t.Errorf("%d of 160 after ten seconds", c)
	}
}
