package assembly_test

import (
	"strings"
	"testing"
	"time"
)

const (
	revokeWithin = 2 * time.Second
	keyed        = "Authorization: Token k1"
)

// TestRevocationWithoutContact guards against a daemon that serves requests with a key
// although it can't know any more whether the key has been taken away, and against one that
// refuses others, or that does not serve again after its source has come back.
func TestRevocationWithoutContact(t *testing.T) {
	f := newCustomerFleet(t, revokeWithin)
	f.publish("large k1\n")
	want := func(d time.Duration, h, s, w string) {
		t.Helper()
		for e := time.Now().Add(d); ; time.Sleep(20 * time.Millisecond) {
			g := f.request("a", h, s)
			if strings.HasPrefix(g, w) {
				return
			}
			if time.Now().After(e) {
				t.Fatalf("%s: %s after %s; want %s", h, g, d, w)
			}
		}
	}
	want(time.Second, "run.example", keyed, "status 200")
	for b := time.Now(); time.Since(b) < 2*revokeWithin; time.Sleep(20 * time.Millisecond) {
		if g := f.request("a", "run.example", keyed); !strings.HasPrefix(g, "status 200") {
			t.Fatalf("refused in calm: %s", g)
		}
	}
	f.source.SetDown(true)
	f.source.DropHistory() // ends the watches
	b := time.Now()
	want(revokeWithin, "run.example", keyed, "status 503")
	if d := time.Since(b); d < revokeWithin*3/10 {
		t.Errorf("refused after %s", d)
	}
	for range 20 {
		if g := f.request("b", "run.example", keyed); !strings.HasPrefix(g, "status 503") {
			t.Errorf("the other daemon: %s", g)
		}
		if g := f.request("a", "open.example", ""); !strings.HasPrefix(g, "status 200") {
			t.Errorf("a public entry: %s", g)
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.source.SetDown(false)
	want(5*time.Second, "run.example", keyed, "status 200")
	f.publish("large k2\n")
	want(time.Second, "run.example", keyed, "status 401")
}
