package configservice_test

import (
	"context"
	"fmt"
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
	source         *factsource.Source
	store          *policy.Store
	gate           *policy.ReadinessGate
	contact        *policy.SourceContact
	heardFollowing func() time.Time
}

// start runs a follower for the instance n until the test ends. The function h
// returns when another daemon last followed the source.
func start(t *testing.T, n lavenderridge.InstanceID, h func() time.Time, o ...func(*configservice.Follower)) *testFollower {
	t.Helper()
	k := assembly.SystemClock{}
	f := &testFollower{source: factsource.NewSource(), store: policy.NewStore(canonicalcbor.NewCodec()), gate: policy.NewReadinessGate(k.Now()), contact: policy.NewSourceContact(k.Now()), heardFollowing: h}
	f.putCatalogue(1)
	for i := range 7 {
		f.putInstance(i)
	}
	a := configservice.NewAcceptor(f.store, confighttp.Parser{}, k, discardRecorder{}, zap.NewNop())
	v := configservice.NewFollower(f.source, f.store, a, f.gate, f.contact, k, zap.NewNop(), n, "kyu-a", f.heardFollowing, metrics.NewRegistry(), o...)
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

// ranked returns the instances of a data centre of n instances by their rank.
func ranked(n int) []lavenderridge.InstanceID {
	l := &lavenderridge.InstanceList{}
	a := make([]lavenderridge.InstanceID, n)
	for i := range n {
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: instanceID(i), DataCentre: "kyu-a", State: lavenderridge.InstanceLive})
	}
	for i := range n {
		a[policy.ReaderRank(l, nil, "kyu-a", instanceID(i))] = instanceID(i)
	}
	return a
}

func standby(n int) lavenderridge.InstanceID { return ranked(n)[2] }

func last(n int) lavenderridge.InstanceID { return ranked(n)[n-1] }

// TestOthersStepIn guards against versions that reach nobody while the source refuses its
// readers, or these are gone, and serves the others.
func TestOthersStepIn(t *testing.T) {
	const within = 2 * time.Second
	a := configservice.WithFollowerApply(policy.NewApplyPlan(within))
	f := start(t, reader(7), never, a)
	heard := func() time.Time {
		n := time.Now()
		return n.Add(-f.contact.Following("reader", n).Age)
	}
	standby, other := start(t, standby(7), heard, a), start(t, last(7), heard, a)
	for _, v := range []*testFollower{f, standby, other} {
		eventually(t, time.Second, "listing", func() bool { return v.hasVersion(1, 7) })
	}
	n := standby.source.Calls() + other.source.Calls()
	time.Sleep(2 * within)
	if d := standby.source.Calls() + other.source.Calls() - n; d > 0 {
		t.Errorf("%d calls while a reader follows the source; want none", d)
	}
	f.source.SetDown(true)
	f.source.DropHistory() // ends the watch
	standby.putCatalogue(2)
	other.putCatalogue(2)
	b := time.Now()
	eventually(t, within, "change read by a standby", func() bool { return standby.hasVersion(2, 7) })
	eventually(t, within-time.Since(b), "change read by others", func() bool { return other.hasVersion(2, 7) })
	// They read like readers, and only for a time.
	n = other.source.Calls()
	time.Sleep(2 * within)
	if d := other.source.Calls() - n; d > 6 {
		t.Errorf("%d calls in %s in place of a reader; want at most 6", d, 2*within)
	}
	f.source.SetDown(false)
	eventually(t, 3*time.Second, "contact of the reader", func() bool { return time.Since(heard()) < within/4 })
	time.Sleep(within + within/2) // their last watches end
	n = standby.source.Calls() + other.source.Calls()
	time.Sleep(time.Second)
	if d := standby.source.Calls() + other.source.Calls() - n; d > 0 {
		t.Errorf("%d calls after the return of the reader", d)
	}
	// While the source serves nobody, nobody calls it often.
	for _, v := range []*testFollower{f, standby, other} {
		v.source.SetDown(true)
		v.source.DropHistory()
	}
	n = other.source.Calls()
	time.Sleep(3 * within)
	if d := other.source.Calls() - n; d > 6 {
		t.Errorf("%d calls in %s of a source that is down; want at most 6", d, 3*within)
	}
}

// TestFollowerSkipsSource checks that a daemon that is not a reader makes
// no call while others follow the source, and reads it if it knows of none, within the time
// for changes.
func TestFollowerSkipsSource(t *testing.T) {
	n := last(7)
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
	eventually(t, policy.DefaultApplyWithin, "change without word of others", func() bool { return g.hasVersion(2, 7) })
}
