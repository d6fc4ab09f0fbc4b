package configservice_test

import (
	"strings"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
)

// TestHeldListIsNotTheAcceptedOne guards against homes of keyed requests that differ
// between daemons: what a daemon holds after a return changes the list that it uses, and
// neither the accepted one nor what it passes on.
func TestHeldListIsNotTheAcceptedOne(t *testing.T) {
	const era = 2 << 44
	s := configservice.NewStore(canonicalcbor.NewCodec())
	s.OrderByEra()
	n := time.Unix(1000, 0)
	list := func(a ...lavenderridge.InstanceID) *lavenderridge.InstanceList {
		l := &lavenderridge.InstanceList{}
		for _, d := range a {
			l.Instances = append(l.Instances, lavenderridge.Instance{ID: d, DataCentre: "kyu-a", Service: "roster", Peer: "10.0.0.1:7620", State: lavenderridge.InstanceLive, Backend: lavenderridge.BackendID(d)})
		}
		return l
	}
	offer := func(v lavenderridge.Version, l *lavenderridge.InstanceList) {
		if r, e := s.OfferInstanceList(configservice.Offer{Version: v, Origin: lavenderridge.OriginSource, Time: n}, l); r != configservice.OfferAccepted {
			t.Fatalf("version %d: %s, %v", v, r, e)
		}
	}
	check := func(u, a string) {
		t.Helper()
		for w, l := range map[string]*lavenderridge.InstanceList{u: s.Snapshot().List, a: s.Snapshot().Accepted().List} {
			var b []string
			for i := range l.Instances {
				b = append(b, string(l.Instances[i].ID))
			}
			if g := strings.Join(b, " "); g != w {
				t.Errorf("list %q; want %q", g, w)
			}
		}
	}
	c := &lavenderridge.Catalogue{DataCentres: []lavenderridge.DataCentre{{ID: "kyu-a", Region: "kyushu", State: lavenderridge.InService}}}
	if r, e := s.OfferCatalogue(configservice.Offer{Version: 1, Origin: lavenderridge.OriginSource, Time: n}, c); r != configservice.OfferAccepted {
		t.Fatal(r, e)
	}
	offer(18, list("a", "b", "c"))
	offer(20, list("a", "b"))
	check("a b", "a b")
	offer(era+14, list("a", "c"))
	check("a b", "a c")
	p := s.Serve(lavenderridge.DocumentInstanceList, lavenderridge.Stamp{})
	l, e := canonicalcbor.NewCodec().DecodeInstanceList(p.Whole)
	if e != nil || len(l.Instances) != 2 || l.Instances[1].ID != "c" {
		t.Errorf("passes on %v, %v; want the accepted list", l, e)
	}
	u, o := s.HeldUntil()
	if !o {
		t.Fatal("nothing is held")
	}
	n = u
	s.Release(n)
	check("a", "a c")
	u, _ = s.HeldUntil()
	s.Release(u)
	check("a c", "a c")
	if _, o := s.HeldUntil(); o {
		t.Error("something is held for good")
	}
}
