package configservice_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
)

// TestComposedDeltas checks that a delta composed of several has the same effect as the
// several: a daemon that is some versions behind is served a composed one, and another
// result would have another digest than the announced one.
func TestComposedDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawCatalogue(t)
		v, l := a, drawInstanceList(t)
		w := l
		var d *lavenderridge.CatalogueDelta
		var g *lavenderridge.InstanceListDelta
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			n, m := drawCatalogue(t), drawInstanceList(t)
			x, y := configservice.DiffCatalogue(v, n), configservice.DiffInstanceList(w, m)
			if d == nil {
				d, g = x, y
			} else {
				d, g = configservice.ComposeCatalogue(d, x), configservice.ComposeInstanceList(g, y)
			}
			v, w = n, m
		}
		if p := configservice.PatchCatalogue(a, d); !reflect.DeepEqual(p, v) {
			t.Fatalf("catalogue %+v; want %+v", p, v)
		}
		if p := configservice.PatchInstanceList(l, g); !reflect.DeepEqual(p, w) {
			t.Fatalf("instance list %+v; want %+v", p, w)
		}
	})
}

// drawIDs returns a few sorted names, or nil.
func drawIDs(t *rapid.T, l string) []string {
	a := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID).Draw(t, l)
	slices.Sort(a)
	return a
}

func drawCatalogue(t *rapid.T) *lavenderridge.Catalogue {
	c := &lavenderridge.Catalogue{Callers: lavenderridge.CallerLimits{Body: lavenderridge.ByteCount(rapid.IntRange(0, 2).Draw(t, "body"))}}
	for _, d := range drawIDs(t, "entries") {
		c.Entries = append(c.Entries, lavenderridge.Entry{ID: lavenderridge.EntryID(d), Public: rapid.Bool().Draw(t, "public")})
	}
	for _, d := range drawIDs(t, "services") {
		c.Services = append(c.Services, lavenderridge.Service{ID: lavenderridge.ServiceID(d), Slots: lavenderridge.Slots(rapid.IntRange(1, 2).Draw(t, "slots"))})
	}
	for _, d := range drawIDs(t, "data centres") {
		c.DataCentres = append(c.DataCentres, lavenderridge.DataCentre{ID: lavenderridge.DataCentreID(d), Region: lavenderridge.RegionID(rapid.SampledFrom([]string{"r", "s"}).Draw(t, "region"))})
	}
	for _, d := range drawIDs(t, "overrides") {
		c.Instances = append(c.Instances, lavenderridge.InstanceOverride{ID: lavenderridge.InstanceID(d), State: lavenderridge.ServiceState(rapid.SampledFrom([]string{"InService", "OutOfService"}).Draw(t, "state"))})
	}
	for _, d := range drawIDs(t, "customers") {
		c.Customers = append(c.Customers, lavenderridge.Customer{ID: lavenderridge.CustomerID(d), Class: lavenderridge.Class(rapid.IntRange(0, 2).Draw(t, "class"))})
	}
	return c
}

func drawInstanceList(t *rapid.T) *lavenderridge.InstanceList {
	l := &lavenderridge.InstanceList{}
	for _, d := range drawIDs(t, "instances") {
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: lavenderridge.InstanceID(d), Revision: lavenderridge.Revision(rapid.IntRange(1, 2).Draw(t, "revision"))})
	}
	for _, d := range drawIDs(t, "evacuated") {
		l.Evacuated = append(l.Evacuated, lavenderridge.DataCentreID(d))
	}
	return l
}

// TestServedDeltas checks that daemons which are any number of versions behind accept the
// deltas that they are served, by a daemon that reads all versions itself and by one that
// pulls them, some of them whole, and that refuses conflicting ones.
func TestServedDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := canonicalcbor.NewCodec()
		a := []*configservice.Store{configservice.NewStore(k), configservice.NewStore(k)}
		var behind []*configservice.Store
		for v := range lavenderridge.Version(rapid.IntRange(2, 20).Draw(t, "versions")) {
			l := drawLongList(t)
			b := configservice.NewStore(k)
			for _, s := range []*configservice.Store{a[0], b} {
				if r, e := s.OfferInstanceList(configservice.Offer{Version: v + 1}, l); r != configservice.OfferAccepted {
					t.Fatal(e)
				}
			}
			behind = append(behind, b)
			if rapid.Bool().Draw(t, "skipped") {
				continue
			}
			h := a[1].Stamps().InstanceList
			if rapid.IntRange(0, 3).Draw(t, "whole") == 0 {
				h = lavenderridge.Stamp{}
			}
			pullList(t, a[0], a[1], h)
			if r, _ := a[1].OfferInstanceList(configservice.Offer{Version: v + 1}, &lavenderridge.InstanceList{}); r != configservice.OfferConflict {
				t.Fatalf("result %v of a conflicting list", r)
			}
		}
		pullList(t, a[0], a[1], a[1].Stamps().InstanceList)
		for i, s := range behind[:len(behind)-1] {
			pullList(t, a[i%len(a)], s, s.Stamps().InstanceList)
		}
	})
}

// pullList lets the store b pull the instance list from a, as if it had the version h.
func pullList(t *rapid.T, a, b *configservice.Store, h lavenderridge.Stamp) {
	t.Helper()
	if a.Stamps().InstanceList == b.Stamps().InstanceList {
		return
	}
	if r, e := b.OfferReply(lavenderridge.DocumentInstanceList, "n", a.Serve(lavenderridge.DocumentInstanceList, h), time.Time{}); r != configservice.OfferAccepted {
		t.Fatalf("result %v: %v", r, e)
	}
}

// drawLongList returns a valid list of which a delta is shorter than the whole list.
func drawLongList(t *rapid.T) *lavenderridge.InstanceList {
	l := &lavenderridge.InstanceList{}
	for i := range 40 {
		l.Instances = append(l.Instances, lavenderridge.Instance{
			ID: lavenderridge.InstanceID(fmt.Sprintf("n%02d", i)), DataCentre: "d", Service: "s", Peer: lavenderridge.Address(fmt.Sprintf("10.0.0.%d:1", i+1)),
			State: lavenderridge.InstanceLive, Slots: 1, Revision: 1,
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "changes") {
		l.Instances[rapid.IntRange(0, 4).Draw(t, "changed")].Revision++
	}
	if rapid.Bool().Draw(t, "removed") {
		i := rapid.IntRange(0, 4).Draw(t, "index")
		l.Instances = slices.Delete(l.Instances, i, i+1)
	}
	return l
}
