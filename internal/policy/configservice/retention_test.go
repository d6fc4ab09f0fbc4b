package configservice_test

import (
	"maps"
	"slices"
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

// TestLapsedInstanceOfAnotherReader guards against a backend server that this daemon has
// seen leave and that another reader, which noticed an outage of the source, still keeps.
func TestLapsedInstanceOfAnotherReader(t *testing.T) {
	s := configservice.NewStore(canonicalcbor.NewCodec())
	s.OrderByEra()
	for _, v := range []struct {
		version lavenderridge.Version
		entries map[lavenderridge.InstanceID]lavenderridge.Revision
		want    string
	}{
		{20, map[lavenderridge.InstanceID]lavenderridge.Revision{"a": 1, "b": 2}, "a b"},
		{24, map[lavenderridge.InstanceID]lavenderridge.Revision{"a": 1}, "a"},
		{27, map[lavenderridge.InstanceID]lavenderridge.Revision{"a": 1, "b": 2, "c": 14}, "a c"},
		{29, map[lavenderridge.InstanceID]lavenderridge.Revision{"a": 1, "b": 15, "c": 14}, "a b c"}, // written again
		{32, map[lavenderridge.InstanceID]lavenderridge.Revision{"a": 1}, "a"},
		{34, map[lavenderridge.InstanceID]lavenderridge.Revision{"a": 1, "c": 14}, "a c"}, // the source's word
	} {
		l := &lavenderridge.InstanceList{}
		for _, d := range slices.Sorted(maps.Keys(v.entries)) {
			l.Instances = append(l.Instances, lavenderridge.Instance{
				ID: d, DataCentre: "kyu-a", Service: "roster", Peer: "10.0.0.1:7620", State: lavenderridge.InstanceLive,
				Backend: lavenderridge.BackendID(d), Revision: v.entries[d],
			})
		}
		if r, e := s.OfferInstanceList(configservice.Offer{Version: v.version, Origin: "x", Time: time.Unix(1000, 0)}, l); r != configservice.OfferAccepted {
			t.Fatalf("version %d: %s, %v", v.version, r, e)
		}
		var b []string
		for _, n := range s.InstanceList().Instances {
			b = append(b, string(n.ID))
		}
		if g := strings.Join(b, " "); g != v.want {
			t.Errorf("version %d: uses %q; want %q", v.version, g, v.want)
		}
	}
}

// TestEvacuationTakenBackAfterReturn guards against a data centre that stays without work
// after the operators have evacuated it again, and taken it back, in the new era.
func TestEvacuationTakenBackAfterReturn(t *testing.T) {
	s := configservice.NewStore(canonicalcbor.NewCodec())
	s.OrderByEra()
	const era = 2 << 44
	for _, v := range []struct {
		version    lavenderridge.Version
		list, want []lavenderridge.DataCentreID
	}{
		{20, []lavenderridge.DataCentreID{"kyu-a"}, []lavenderridge.DataCentreID{"kyu-a"}},
		{era + 10, nil, []lavenderridge.DataCentreID{"kyu-a"}},
		{era + 12, []lavenderridge.DataCentreID{"kyu-a"}, []lavenderridge.DataCentreID{"kyu-a"}},
		{era + 14, nil, nil},
	} {
		l := &lavenderridge.InstanceList{Evacuated: v.list}
		if r, e := s.OfferInstanceList(configservice.Offer{Version: v.version, Origin: "x", Time: time.Unix(1000, 0)}, l); r != configservice.OfferAccepted {
			t.Fatalf("version %d: %s, %v", v.version, r, e)
		}
		if g := s.InstanceList().Evacuated; !slices.Equal(g, v.want) {
			t.Errorf("version %d: evacuated %q; want %q", v.version, g, v.want)
		}
	}
}
