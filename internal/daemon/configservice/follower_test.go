package configservice_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/daemon/configservice"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/standin/factsource"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
)

type discard struct{}

func (discard) Record(lavenderridge.Decision) {}

// following is a follower of a stand-in source.
type following struct {
	source *factsource.Source
	store  *policy.Store
	gate   *policy.Gate
	heard  func() time.Time
}

// start runs a follower for the instance n until the test ends.
func start(t *testing.T, n lavenderridge.InstanceID, h func() time.Time) *following {
	t.Helper()
	k := assembly.SystemClock{}
	f := &following{source: factsource.NewSource(), store: policy.NewStore(canonicalcbor.NewCodec()), gate: policy.NewGate(k.Now()), heard: h}
	f.catalogue(1)
	for i := range 7 {
		f.instance(i)
	}
	a := configservice.NewAcceptor(f.store, confighttp.Parser{}, k, discard{}, zap.NewNop())
	v := configservice.NewFollower(f.source, f.store, a, f.gate, policy.NewSourceContact(k.Now()), k, zap.NewNop(), n, "kyu-a", f.heard, 1)
	c, x := context.WithCancel(t.Context())
	d := make(chan error, 1)
	go func() { d <- v.Run(c) }()
	t.Cleanup(func() {
		x()
		if e := <-d; e != nil {
			t.Error(e)
		}
	})
	return f
}

func id(i int) lavenderridge.InstanceID {
	return lavenderridge.InstanceID(fmt.Sprintf("10.0.0.%d", i))
}

func (f *following) instance(i int) {
	n := &lavenderridge.Instance{ID: id(i), DataCentre: "kyu-a", Service: "roster", Peer: lavenderridge.Address(id(i) + ":7200"), State: lavenderridge.InstanceLive, Slots: 9}
	f.source.Put(lavenderridge.Fact{Key: lavenderridge.FactKey(fmt.Sprintf("i/%d", i)), Instance: n})
}

func (f *following) catalogue(v lavenderridge.Version) {
	c := &lavenderridge.Catalogue{DataCentres: []lavenderridge.DataCentre{{ID: "kyu-a", Region: "kyushu", State: lavenderridge.InService}}}
	f.source.Put(lavenderridge.Fact{Key: "catalogue", Catalogue: &lavenderridge.PublishedCatalogue{Version: v, Catalogue: c}})
}

// within fails unless g holds within d.
func within(t *testing.T, d time.Duration, w string, g func() bool) {
	t.Helper()
	for e := time.Now().Add(d); !g(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(e) {
			t.Fatalf("%s: not within %s", w, d)
		}
	}
}

func (f *following) holds(v lavenderridge.Version, n int) bool {
	s := f.store.Snapshot()
	return s != nil && s.Versions().Catalogue == v && len(s.List.Instances) == n
}

func never() time.Time { return time.Time{} }

// reader returns the instance that reads for the data centre of n instances.
func reader(n int) lavenderridge.InstanceID {
	l := &lavenderridge.InstanceList{}
	for i := range n {
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: id(i), DataCentre: "kyu-a", State: lavenderridge.InstanceLive})
	}
	return policy.Readers(l, "kyu-a")[0]
}

// TestFollowerKeepsUp checks that a listing of several pages opens the gate, and
// that changes come into force, after a dropped history and an outage as well.
func TestFollowerKeepsUp(t *testing.T) {
	f := start(t, reader(7), never)
	within(t, time.Second, "listing", func() bool { return f.holds(1, 7) })
	if e := f.gate.Ready(f.store.Snapshot().Versions(), time.Now()); e != nil {
		t.Errorf("after a linearizable listing: %v", e)
	}
	f.catalogue(2)
	within(t, time.Second, "change", func() bool { return f.holds(2, 7) })
	f.source.SetSilent(true)
	f.catalogue(3)
	f.source.DropHistory()
	f.source.SetSilent(false)
	within(t, 3*time.Second, "dropped history", func() bool { return f.holds(3, 7) })
	f.source.SetDown(true)
	f.source.DropHistory() // cuts the watch
	time.Sleep(300 * time.Millisecond)
	f.catalogue(4)
	f.source.Delete("i/0")
	f.source.SetDown(false)
	within(t, 3*time.Second, "outage", func() bool { return f.holds(4, 7) })
	within(t, 4*time.Second, "lapsed instance", func() bool { return f.holds(4, 6) })
}

// TestFollowerLeavesTheSourceAlone checks that a daemon that is no reader makes
// no call while it hears of others, and reads when it does not.
func TestFollowerLeavesTheSourceAlone(t *testing.T) {
	var n lavenderridge.InstanceID
	l := &lavenderridge.InstanceList{}
	for i := range 7 {
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: id(i), DataCentre: "kyu-a", State: lavenderridge.InstanceLive})
	}
	r := policy.Readers(l, "kyu-a")
	for i := range 7 {
		if !slices.Contains(r, id(i)) {
			n = id(i)
		}
	}
	f := start(t, n, time.Now)
	within(t, time.Second, "listing", func() bool { return f.holds(1, 7) })
	c := f.source.Calls()
	time.Sleep(time.Second)
	if d := f.source.Calls() - c; d > 0 {
		t.Errorf("%d calls of a daemon that is no reader", d)
	}
	g := start(t, n, never)
	within(t, time.Second, "listing", func() bool { return g.holds(1, 7) })
	g.catalogue(2)
	within(t, 9*time.Second, "alone", func() bool { return g.holds(2, 7) })
}
