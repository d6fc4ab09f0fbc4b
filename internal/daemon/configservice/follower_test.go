package configservice_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/daemon/configservice"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/standin/factsource"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
)

type discardRecorder struct{}

func (discardRecorder) Record(lavenderridge.Decision) {}

// testFollower is a stand-in source with the store and the gate of a follower of
// it.
type testFollower struct {
	source          *factsource.Source
	store           *policy.Store
	gate            *policy.ReadinessGate
	lastPeerMessage func() time.Time
	follower        *configservice.Follower
}

// start runs a follower for the instance n until the test ends. The function h
// returns the time of the last message from a neighbour.
func start(t *testing.T, n lavenderridge.InstanceID, h func() time.Time, o ...func(*configservice.Follower)) *testFollower {
	t.Helper()
	k := assembly.SystemClock{}
	f := &testFollower{source: factsource.NewSource(), store: policy.NewStore(canonicalcbor.NewCodec()), gate: policy.NewReadinessGate(k.Now()), lastPeerMessage: h}
	f.putCatalogue(1)
	for i := range 7 {
		f.putInstance(i)
	}
	a := configservice.NewAcceptor(f.store, confighttp.Parser{}, k, discardRecorder{}, zap.NewNop())
	v := configservice.NewFollower(f.source, f.store, a, f.gate, policy.NewSourceContact(k.Now()), k, zap.NewNop(), n, "kyu-a", f.lastPeerMessage, metrics.NewRegistry(), o...)
	f.follower = v
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

func instanceID(i int) lavenderridge.InstanceID {
	return lavenderridge.InstanceID(fmt.Sprintf("10.0.0.%d", i))
}

func (f *testFollower) putInstance(i int) {
	n := &lavenderridge.Instance{ID: instanceID(i), DataCentre: "kyu-a", Service: "roster", Peer: lavenderridge.Address(instanceID(i) + ":7200"), State: lavenderridge.InstanceLive, Slots: 9}
	f.source.Put(lavenderridge.Fact{Key: lavenderridge.FactKey(fmt.Sprintf("i/%d", i)), Instance: n})
}

func (f *testFollower) putCatalogue(v lavenderridge.Version) {
	c := &lavenderridge.Catalogue{DataCentres: []lavenderridge.DataCentre{{ID: "kyu-a", Region: "kyushu", State: lavenderridge.InService}}}
	f.source.Put(lavenderridge.Fact{Key: "catalogue", Catalogue: &lavenderridge.PublishedCatalogue{Version: v, Catalogue: c}})
}

// eventually fails the test t unless g becomes true within d. The text w names the
// condition.
func eventually(t *testing.T, d time.Duration, w string, g func() bool) {
	t.Helper()
	for e := time.Now().Add(d); !g(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(e) {
			t.Fatalf("%s: not within %s", w, d)
		}
	}
}

func (f *testFollower) hasVersion(v lavenderridge.Version, n int) bool {
	s := f.store.Snapshot()
	return s != nil && s.Versions().Catalogue == v && len(s.List.Instances) == n
}

func never() time.Time { return time.Time{} }

// reader returns the ID of a reader in a data centre of n instances.
func reader(n int) lavenderridge.InstanceID {
	l := &lavenderridge.InstanceList{}
	for i := range n {
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: instanceID(i), DataCentre: "kyu-a", State: lavenderridge.InstanceLive})
	}
	return policy.Readers(l, nil, "kyu-a")[0]
}

// TestFollowerAppliesChanges checks that a listing of several pages opens the gate, and
// that changes are accepted: without disturbance, after the source dropped its
// history, and after an outage, in which a lapsed instance is kept at first.
func TestFollowerAppliesChanges(t *testing.T) {
	f := start(t, reader(7), never)
	eventually(t, time.Second, "listing", func() bool { return f.hasVersion(1, 7) })
	if e := f.gate.Ready(f.store.Snapshot().Versions(), time.Now()); e != nil {
		t.Errorf("after a linearizable listing: %v", e)
	}
	f.putCatalogue(2)
	eventually(t, time.Second, "change", func() bool { return f.hasVersion(2, 7) })
	f.source.SetHalfOpen(true)
	f.putCatalogue(3)
	f.source.DropHistory()
	f.source.SetHalfOpen(false)
	eventually(t, 3*time.Second, "dropped history", func() bool { return f.hasVersion(3, 7) })
	f.source.SetDown(true)
	f.source.DropHistory() // ends the watch
	time.Sleep(300 * time.Millisecond)
	f.putCatalogue(4)
	f.source.Delete("i/0")
	f.source.SetDown(false)
	eventually(t, 3*time.Second, "outage", func() bool { return f.hasVersion(4, 7) })
	eventually(t, 4*time.Second, "lapsed instance", func() bool { return f.hasVersion(4, 6) })
}

// otherInstances returns the instances of the data centre that aren't readers.
func otherInstances(n int) []lavenderridge.InstanceID {
	l := &lavenderridge.InstanceList{}
	var a []lavenderridge.InstanceID
	for i := range n {
		a = append(a, instanceID(i))
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: instanceID(i), DataCentre: "kyu-a", State: lavenderridge.InstanceLive})
	}
	r := policy.Readers(l, nil, "kyu-a")
	return slices.DeleteFunc(a, func(d lavenderridge.InstanceID) bool { return slices.Contains(r, d) })
}

// TestRefusedReaderAsksForSubstitutes guards against versions that reach nobody while the
// source refuses its readers and serves the others.
func TestRefusedReaderAsksForSubstitutes(t *testing.T) {
	asked := make(chan lavenderridge.InstanceID, 100)
	f := start(t, reader(7), never, configservice.WithSubstitutes(func(_ context.Context, n lavenderridge.InstanceID, _ time.Duration) error {
		asked <- n
		return nil
	}))
	g := start(t, otherInstances(7)[0], time.Now)
	eventually(t, time.Second, "listing", func() bool { return f.hasVersion(1, 7) && g.hasVersion(1, 7) })
	f.source.SetDown(true)
	f.source.DropHistory() // ends the watch
	select {
	case n := <-asked:
		if !slices.Contains(otherInstances(7), n) {
			t.Errorf("asked %s, which is a reader", n)
		}
	case <-time.After(time.Second):
		t.Fatal("nobody was asked within 1s")
	}
	// A substitute reads for a time only.
	c := g.source.Calls()
	g.putCatalogue(2)
	g.follower.ReadFor(time.Hour)
	eventually(t, time.Second, "change read by a substitute", func() bool { return g.hasVersion(2, 7) })
	time.Sleep(policy.SubstitutePeriod + 2500*time.Millisecond)
	n := g.source.Calls()
	time.Sleep(time.Second)
	if d := g.source.Calls() - n; d > 0 || n-c > 6 {
		t.Errorf("%d calls in place of a reader, and %d after that; want at most 6, and none", n-c, d)
	}
	// While nobody has contact with the source, nobody else is asked.
	for len(asked) > 0 {
		<-asked
	}
	time.Sleep(2 * time.Second)
	if n := len(asked); n > 0 {
		t.Errorf("%d daemons were asked although the source serves nobody", n)
	}
}

// TestFollowerSkipsSource checks that a daemon that is not a reader makes
// no call while it receives messages from neighbours, and reads the source if it
// receives none.
func TestFollowerSkipsSource(t *testing.T) {
	var n lavenderridge.InstanceID
	l := &lavenderridge.InstanceList{}
	for i := range 7 {
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: instanceID(i), DataCentre: "kyu-a", State: lavenderridge.InstanceLive})
	}
	r := policy.Readers(l, nil, "kyu-a")
	for i := range 7 {
		if !slices.Contains(r, instanceID(i)) {
			n = instanceID(i)
		}
	}
	f := start(t, n, time.Now)
	eventually(t, time.Second, "listing", func() bool { return f.hasVersion(1, 7) })
	c := f.source.Calls()
	time.Sleep(time.Second)
	if d := f.source.Calls() - c; d > 0 {
		t.Errorf("%d calls by a daemon that is not a reader", d)
	}
	g := start(t, n, never)
	eventually(t, time.Second, "listing", func() bool { return g.hasVersion(1, 7) })
	g.putCatalogue(2)
	eventually(t, 9*time.Second, "change without messages from neighbours", func() bool { return g.hasVersion(2, 7) })
}
