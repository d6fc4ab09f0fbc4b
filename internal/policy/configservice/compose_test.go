package configservice_test

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
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
