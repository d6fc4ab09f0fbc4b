package assembly_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/standin/factsource"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// stopDelay is long enough for a test to send several requests.
const stopDelay = 500 * time.Millisecond

// platformFleet is a fleet of daemons, one in each data centre, that read the
// facts of a stand-in for the platform.
type platformFleet struct {
	t        *testing.T
	source   *factsource.Source
	daemons  []*assembly.Daemon
	backends []*backendserver.Server
	stop     []func()
}

func newPlatformFleet(t *testing.T, n int) *platformFleet {
	t.Helper()
	f := &platformFleet{t: t, source: factsource.NewSource()}
	f.publish(1, "roster")
	for i := range n {
		b := backendserver.NewServer(lavenderridge.InstanceID(fmt.Sprintf("n-%d", i)), 9, 5*time.Millisecond)
		if e := b.Start(); e != nil {
			t.Fatal(e)
		}
		t.Cleanup(b.Close)
		f.backends = append(f.backends, b)
		f.start(i)
	}
	for i := range n {
		f.list(i, lavenderridge.InstanceLive)
	}
	f.wait(func(d *assembly.Daemon) bool {
		return d.Status().Ready && d.Status().Versions.InstanceList >= 2*lavenderridge.Version(n+1)
	})
	return f
}

func (f *platformFleet) id(i int) lavenderridge.InstanceID {
	return lavenderridge.InstanceID(fmt.Sprintf("n-%d", i))
}

func (f *platformFleet) centre(i int) lavenderridge.DataCentreID {
	return lavenderridge.DataCentreID(fmt.Sprintf("dc-%d", i))
}

// start starts the daemon i, or its successor if it has been stopped.
func (f *platformFleet) start(i int) {
	f.t.Helper()
	k, e := peertls.NewEphemeralKeys(peertls.Identity{Instance: f.id(i), DataCentre: f.centre(i)}, time.Now())
	if e != nil {
		f.t.Fatal(e)
	}
	p := lavenderridge.Address("127.0.0.1:0")
	if i < len(f.daemons) {
		p = f.daemons[i].PeerAddress()
	}
	c, x := context.WithCancel(f.t.Context())
	d, e := assembly.NewDaemon(c, assembly.Config{
		Instance: f.id(i), DataCentre: f.centre(i), Service: "roster", Backend: f.backends[i].Address(), Connections: 20,
		Caller: "127.0.0.1:0", Peer: p, Operator: "127.0.0.1:0", MaxBody: lavenderridge.Mebibyte,
		StopTimeout: 2 * time.Second, StopDelay: stopDelay, FleetSize: 1, RetryRatio: 0.2, RetryExtra: 64, ColdFactor: 1,
	}, k, assembly.WithAdapter(factsource.Adapter{Source: f.source}))
	if e != nil {
		f.t.Fatal(e)
	}
	done := make(chan error, 1)
	go func() { done <- d.Run(c) }()
	s := func() {
		x()
		if e := <-done; e != nil {
			f.t.Error(e)
		}
	}
	if i < len(f.daemons) {
		f.daemons[i], f.stop[i] = d, s
		return
	}
	f.daemons, f.stop = append(f.daemons, d), append(f.stop, s)
	f.t.Cleanup(func() { f.stop[i]() })
}

func (f *platformFleet) list(i int, s lavenderridge.InstanceState) {
	f.source.Put(lavenderridge.Fact{Key: lavenderridge.FactKey("i/" + f.id(i)), Instance: &lavenderridge.Instance{
		ID: f.id(i), DataCentre: f.centre(i), Service: "roster", Peer: f.daemons[i].PeerAddress(), State: s, Slots: 9,
	}})
}

func (f *platformFleet) publish(v lavenderridge.Version, s lavenderridge.ServiceID) {
	c := &lavenderridge.Catalogue{Services: []lavenderridge.Service{{ID: s, Slots: 1, Connections: 20, Queue: 20}}}
	for i := range 3 {
		c.DataCentres = append(c.DataCentres, lavenderridge.DataCentre{ID: f.centre(i), Region: "r", State: lavenderridge.InService})
	}
	for _, p := range []lavenderridge.EntryID{"read", lavenderridge.EntryID(fmt.Sprintf("v%d", v))} {
		c.Entries = append(c.Entries, lavenderridge.Entry{
			ID: p, Owner: "o", Class: lavenderridge.ClassNormal, Service: s, PathPrefix: "/" + string(p) + "/", Idempotent: true,
			Timeout: 2 * time.Second, Limits: lavenderridge.Limits{Attempts: 2},
			Objective: lavenderridge.Objective{Success: 0.9, Latency: 500 * time.Millisecond},
		})
	}
	f.source.Put(lavenderridge.Fact{Key: "catalogue", Catalogue: &lavenderridge.PublishedCatalogue{Version: v, Catalogue: c}})
}

func (f *platformFleet) wait(g func(d *assembly.Daemon) bool) {
	f.t.Helper()
	for e := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		o := true
		for _, d := range f.daemons {
			o = o && g(d)
		}
		if o {
			return
		}
		if time.Now().After(e) {
			f.t.Fatal("condition not met within 10 s")
		}
	}
}

func (f *platformFleet) get(i int, p string) int {
	f.t.Helper()
	s, _, e := get(f.t.Context(), f.daemons[i].CallerAddress(), p)
	if e != nil {
		f.t.Error(e)
	}
	return s
}

// TestPlatformFleet checks that daemons serve requests according to the published
// facts: all daemons apply changes, an evacuated data centre and a leaving
// instance receive no more requests, and a daemon that starts while the source is
// down gets the configuration from the others.
func TestPlatformFleet(t *testing.T) {
	f := newPlatformFleet(t, 3)
	for i := range 3 {
		if s := f.get(i, "/read/x"); s != http.StatusOK {
			t.Errorf("daemon %d: status %d", i, s)
		}
	}
	f.publish(5, "roster")
	f.wait(func(d *assembly.Daemon) bool { return d.Status().Versions.Catalogue == 5 })
	if s := f.get(2, "/v5/x"); s != http.StatusOK {
		t.Errorf("added entry: status %d; want 200", s)
	}
	if s := f.get(2, "/v1/x"); s != http.StatusNotFound {
		t.Errorf("removed entry: status %d; want 404", s)
	}
	r := f.source.Put(lavenderridge.Fact{Key: "z", Evacuated: "dc-0"})
	f.wait(func(d *assembly.Daemon) bool {
		return d.Status().Versions.InstanceList >= 2*lavenderridge.Version(r)
	})
	f.list(1, lavenderridge.InstanceLeaving)
	f.wait(func(d *assembly.Daemon) bool {
		return d.Status().Versions.InstanceList >= 2*lavenderridge.Version(r+1)
	})
	a, b := len(f.backends[0].RunCounts()), len(f.backends[1].RunCounts())
	for i := range 30 {
		if s := f.get(i%3, "/read/x"); s != http.StatusOK {
			t.Errorf("status %d", s)
		}
	}
	if n, m := len(f.backends[0].RunCounts())-a, len(f.backends[1].RunCounts())-b; n+m > 0 {
		t.Errorf("%d requests ran in the evacuated data centre and %d at the leaving instance; want 0", n, m)
	}
	f.source.SetDown(true)
	f.stop[1]()
	f.start(1)
	f.wait(func(d *assembly.Daemon) bool { return d.Status().Ready && d.Status().Versions.Catalogue == 5 })
	if s := f.get(1, "/read/x"); s != http.StatusOK {
		t.Errorf("daemon that started without the source: status %d; want 200", s)
	}
	if h := f.daemons[0].Status().Home; h.Active || h.Entries > 0 {
		t.Errorf("home status %+v; want an inactive home without entries", h)
	}
}

// TestStopDelay checks that a daemon reports a shutdown immediately and
// still forwards requests to its backend server during the stop delay.
func TestStopDelay(t *testing.T) {
	f := newPlatformFleet(t, 2)
	f.list(1, lavenderridge.InstanceLeaving)
	f.wait(func(d *assembly.Daemon) bool { return d.Status().Versions.InstanceList >= 2*4 })
	b := time.Now()
	d, x := make(chan struct{}), f.stop[0]
	f.stop[0] = func() {}
	go func() {
		defer close(d)
		x()
	}()
	f.wait(func(d *assembly.Daemon) bool { return d != f.daemons[0] || d.Status().Leaving })
	for time.Since(b) < stopDelay-200*time.Millisecond {
		if s := f.get(1, "/read/x"); s != http.StatusOK {
			t.Errorf("status %d while the only target shuts down; want 200", s)
		}
	}
	<-d
}
