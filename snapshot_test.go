package lavenderridge

import (
	"reflect"
	"testing"
	"time"
)

// TestWithInstanceList checks that a snapshot with another instance list equals one
// that is built from the start.
func TestWithInstanceList(t *testing.T) {
	c := &Catalogue{
		DataCentres: []DataCentre{{ID: "kyu-a", State: InService}},
		Services:    []Service{{ID: "billing"}, {ID: "roster"}},
		Entries:     []Entry{{ID: "a", Host: "h", PathPrefix: "/a/"}, {ID: "b", Host: "h", PathPrefix: "/a/b/"}},
		Instances:   []InstanceOverride{{ID: "n-1", State: OutOfService}},
	}
	a := &InstanceList{Instances: []Instance{{ID: "n-1", Service: "roster"}, {ID: "n-2", Service: "roster"}}, Evacuated: []DataCentreID{"kyu-a"}}
	b := &InstanceList{Instances: []Instance{{ID: "n-2", Service: "billing"}}}
	p := Stamps{InstanceList: Stamp{Version: 2}}
	o := NewSnapshot(c, a, Stamps{}, time.Unix(1, 0))
	if g, w := o.WithInstanceList(b, p, time.Unix(2, 0)), NewSnapshot(c, b, p, time.Unix(2, 0)); !reflect.DeepEqual(g, w) {
		t.Errorf("%+v; want %+v", g, w)
	}
	if w := NewSnapshot(c, a, Stamps{}, time.Unix(1, 0)); !reflect.DeepEqual(o, w) {
		t.Errorf("the first snapshot changed to %+v", o)
	}
}
