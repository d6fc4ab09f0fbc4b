package configservice_test

import (
	"cmp"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// time0 is the time of listings whose time does not matter.
var time0 = time.Unix(1000, 0)

// TestListVersions guards against lists of two eras in the wrong order: the versions of
// lists are ordered by the era, then by the revision, and without a return they are twice
// the revision.
func TestListVersions(t *testing.T) {
	version := func(e lavenderridge.Era, r lavenderridge.Revision, returned bool) lavenderridge.Version {
		m := configservice.NewMirror()
		if returned {
			m.CompareList(1<<62, false)
		}
		m.BeginEra(e)
		m.ApplyListing(nil, r, r, time0)
		_, v := m.InstanceList(time0)
		return v
	}
	rapid.Check(t, func(t *rapid.T) {
		e := lavenderridge.Era(rapid.Uint64Range(0, 1<<20-1).Draw(t, "era"))
		f := lavenderridge.Era(rapid.Uint64Range(0, 1<<20-1).Draw(t, "other era"))
		r := lavenderridge.Revision(rapid.Uint64Range(1, 1<<42).Draw(t, "revision"))
		s := lavenderridge.Revision(rapid.Uint64Range(1, 1<<42).Draw(t, "other revision"))
		v, w := version(e, r, true), version(f, s, true)
		if cmp.Compare(v, w) != cmp.Or(cmp.Compare(e, f), cmp.Compare(r, s)) {
			t.Fatalf("versions %d and %d of revisions %d and %d in eras %d and %d", v, w, r, s, e, f)
		}
		if configservice.ListEra(v) != e || configservice.ListNumber(v) != 2*lavenderridge.Version(r) {
			t.Fatalf("version %d has the era %d and the number %d", v, configservice.ListEra(v), configservice.ListNumber(v))
		}
		if u := version(e, r, false); u != 2*lavenderridge.Version(r) {
			t.Fatalf("version %d without a return", u)
		}
	})
}
