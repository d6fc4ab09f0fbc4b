package lavenderridge_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
)

// TestBackendIDKeepsItsName guards against requests that expect another backend server
// than the registered one, whatever characters its name has.
func TestBackendIDKeepsItsName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := lavenderridge.BackendName(rapid.StringMatching(`[a-z0-9#-]{0,8}`).Draw(t, "name"))
		a := rapid.Int64().Draw(t, "start")
		b := lavenderridge.NewBackendID(n, time.UnixMilli(a))
		for _, v := range []lavenderridge.BackendID{b, lavenderridge.NewBackendID(n, time.Time{})} {
			if v.Name() != n {
				t.Fatalf("%q has the name %q; want %q", v, v.Name(), n)
			}
		}
		c := rapid.Int64().Draw(t, "other start")
		if o := lavenderridge.NewBackendID(n, time.UnixMilli(c)); (o == b) != (a == c) {
			t.Fatalf("starts %d and %d: runs %q and %q", a, c, b, o)
		}
		if o := lavenderridge.NewBackendID(n, time.UnixMilli(c)); b.Precedes(o) != (a < c) {
			t.Fatalf("%q precedes %q: %t", b, o, b.Precedes(o))
		}
		if u := lavenderridge.NewBackendID(n, time.Time{}); b.Precedes(u) || u.Precedes(b) {
			t.Fatalf("%q and %q, of an unknown start, are ordered", b, u)
		}
	})
}
