package configservice_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// mirrorFacts parses one fact from each line: "key created revision value", where
// value is an instance ID, "catalogue:VERSION", "evacuated:DATACENTRE", "nothing"
// or "deleted". An instance ID may be followed by ":SERVICE:SLOTS"; the catalogue
// contains the service "roster".
func mirrorFacts(t *testing.T, d *datadriven.TestData) []lavenderridge.Fact {
	t.Helper()
	var a []lavenderridge.Fact
	for l := range strings.Lines(d.Input) {
		var f lavenderridge.Fact
		var w string
		if _, e := fmt.Sscan(l, &f.Key, &f.Created, &f.Revision, &w); e != nil {
			d.Fatalf(t, "%v", e)
		}
		k, v, _ := strings.Cut(w, ":")
		switch k {
		case "deleted":
			f.Deleted = true
		case "nothing":
		case "evacuated":
			f.Evacuated = lavenderridge.DataCentreID(v)
		case "catalogue":
			f.Catalogue = &lavenderridge.PublishedCatalogue{Catalogue: &lavenderridge.Catalogue{Services: []lavenderridge.Service{{ID: "roster"}}}}
			_, _ = fmt.Sscan(v, &f.Catalogue.Version)
		default:
			f.Instance = &lavenderridge.Instance{
				ID: lavenderridge.InstanceID(k), DataCentre: "kyu-a", Service: "roster", Peer: "10.0.0.1:7620",
				Backend: lavenderridge.BackendID(f.Key), State: lavenderridge.InstanceLive,
			}
			if s, n, o := strings.Cut(v, ":"); o {
				f.Instance.Service = lavenderridge.ServiceID(s)
				_, _ = fmt.Sscan(n, &f.Instance.Slots)
			}
		}
		a = append(a, f)
	}
	return a
}

// TestMirror replays listings, changes and outages of a source and prints the
// documents that the mirror builds, with lapsed instances.
func TestMirror(t *testing.T) {
	datadriven.Walk(t, "testdata/mirror", func(t *testing.T, p string) {
		m, n := configservice.NewMirror(), time.Unix(1000, 0)
		datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string {
			var r uint64
			d.MaybeScanArgs(t, "as-of", &r)
			l := r
			d.MaybeScanArgs(t, "list", &l)
			var j []lavenderridge.Fact
			switch d.Cmd {
			case "listed":
				j = m.ApplyListing(mirrorFacts(t, d), lavenderridge.Revision(r), lavenderridge.Revision(l), n)
			case "changed":
				j = m.ApplyChanges(&lavenderridge.FactPage{Facts: mirrorFacts(t, d), AsOf: lavenderridge.Revision(r)}, n)
			case "failed":
				m.SourceFailed()
			case "era":
				_, _ = fmt.Sscan(d.CmdArgs[0].Key, &r)
				if !m.BeginEra(lavenderridge.Era(r)) {
					return "no return\n"
				}
			case "accepted":
				var v lavenderridge.Version
				_, _ = fmt.Sscan(d.CmdArgs[0].Key, &v)
				m.CompareList(v, !d.HasArg("watched"))
				var b strings.Builder
				for e := range lavenderridge.Era(4) {
					fmt.Fprintf(&b, "a response of era %d is older: %t\n", e, m.IsOlder(e, v))
				}
				fmt.Fprintf(&b, "returned: %t\n", m.HasReturned())
				return b.String()
			case "advance":
				v, e := time.ParseDuration(d.CmdArgs[0].Key)
				if e != nil {
					d.Fatalf(t, "%v", e)
				}
				n = n.Add(v)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			s, v := m.InstanceList(n)
			var b strings.Builder
			fmt.Fprintf(&b, "list %s, as of %d:", configservice.FormatListVersion(v), m.AsOf())
			for _, i := range s.Instances {
				fmt.Fprintf(&b, " %s=%s", i.ID, i.Backend)
			}
			if len(s.Evacuated) > 0 {
				fmt.Fprintf(&b, ", evacuated %v", s.Evacuated)
			}
			if c := m.Catalogue(); c != nil {
				fmt.Fprintf(&b, ", catalogue %d", c.Version)
			}
			for _, f := range j {
				fmt.Fprintf(&b, "\nrejected %s %d: %s", f.Key, f.Revision, f.Findings)
			}
			return b.String() + "\n"
		})
	})
}
