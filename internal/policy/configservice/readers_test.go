package configservice_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// TestForeignEntriesAreNoReaders guards against data centres in which nobody watches the
// source, because the instances chosen for it are entries of another writer.
func TestForeignEntriesAreNoReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &lavenderridge.Catalogue{Services: []lavenderridge.Service{{ID: "roster"}, {ID: "billing"}}}
		l, own := &lavenderridge.InstanceList{}, &lavenderridge.InstanceList{}
		add := func(n int, s lavenderridge.ServiceID) {
			for i := range n {
				v := lavenderridge.Instance{
					ID: lavenderridge.InstanceID(fmt.Sprintf("10.%d.%d.%d", rapid.IntRange(0, 255).Draw(t, "net"), len(s), i)), DataCentre: "kyu-a",
					Service: s, State: lavenderridge.InstanceLive,
				}
				l.Instances = append(l.Instances, v)
				if s != "unknown" {
					own.Instances = append(own.Instances, v)
				}
			}
		}
		add(rapid.IntRange(1, 6).Draw(t, "roster"), "roster")
		add(rapid.IntRange(0, 6).Draw(t, "billing"), "billing")
		add(rapid.IntRange(1, 50).Draw(t, "foreign"), "unknown")
		v, w := configservice.Readers(l, c, "kyu-a"), configservice.Readers(own, c, "kyu-a")
		if !slices.Equal(v, w) {
			t.Fatalf("readers %v; want %v, as without the foreign entries", v, w)
		}
		if n := min(2, len(own.Instances)); len(v) != n {
			t.Fatalf("%d readers; want %d", len(v), n)
		}
		// Without a catalogue, and if it knows none of them, all instances count.
		if n := min(2, len(l.Instances)); len(configservice.Readers(l, nil, "kyu-a")) != n || len(configservice.Readers(l, &lavenderridge.Catalogue{}, "kyu-a")) != n {
			t.Fatalf("fewer than %d readers without known services", n)
		}
	})
}
