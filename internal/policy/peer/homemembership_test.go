package peer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// TestMembershipFollowsAcceptedList guards against two homes of one key: daemons may use
// different lists under one version while they hold what a copy of the source lacks.
func TestMembershipFollowsAcceptedList(t *testing.T) {
	list := func(a ...lavenderridge.InstanceID) *lavenderridge.InstanceList {
		l := &lavenderridge.InstanceList{}
		for _, d := range a {
			l.Instances = append(l.Instances, lavenderridge.Instance{ID: d, DataCentre: "kyu-a", Service: "roster", State: lavenderridge.InstanceLive})
		}
		return l
	}
	c := &lavenderridge.Catalogue{
		DataCentres: []lavenderridge.DataCentre{{ID: "kyu-a", Region: "kyushu", State: lavenderridge.InService}},
		Services:    []lavenderridge.Service{{ID: "roster", Slots: 1}},
	}
	s := lavenderridge.NewSnapshot(c, list("a", "b"), lavenderridge.Stamps{}, time.Unix(1000, 0))
	m, n := peer.NewHomeMembership(s, "roster"), peer.NewHomeMembership(s.WithUsedList(list("b", "c")), "roster")
	if !slices.Equal(n.Listed(), []lavenderridge.InstanceID{"a", "b"}) || m.Digest() != n.Digest() {
		t.Errorf("listed %v; want those of the accepted list", n.Listed())
	}
}
