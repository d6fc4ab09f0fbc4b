package assembly_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	load "github.com/lavenderridge/lavenderridge/internal/load/caller"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/standin/link"
	"github.com/lavenderridge/lavenderridge/internal/standin/mesh"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

func startMesh(t *testing.T, o ...mesh.Option) *mesh.Mesh {
	t.Helper()
	c, f := context.WithCancel(context.Background())
	m, e := mesh.NewMesh(c, o...)
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() {
		if e := m.Close(); e != nil {
			t.Error(e)
		}
		f()
	})
	w, x := context.WithTimeout(c, 20*time.Second)
	defer x()
	if e := m.WaitReady(w); e != nil {
		t.Fatal(e)
	}
	return m
}

func waitFor(t *testing.T, m *mesh.Mesh, g func(*assembly.Daemon) bool) {
	t.Helper()
	c, f := context.WithTimeout(context.Background(), 10*time.Second)
	defer f()
	if e := m.Wait(c, g); e != nil {
		t.Fatal(e)
	}
}

func get(c context.Context, a lavenderridge.Address, p string) (status int, by string, e error) {
	q, e := http.NewRequestWithContext(c, http.MethodGet, fmt.Sprintf("http://%s%s", a, p), http.NoBody)
	if e != nil {
		return 0, "", e
	}
	r, e := http.DefaultClient.Do(q)
	if e != nil {
		return 0, "", e
	}
	defer func() { _ = r.Body.Close() }()
	_, e = io.Copy(io.Discard, r.Body)
	return r.StatusCode, r.Header.Get(callerhttp.TargetHeader) + r.Header.Get(callerhttp.ReasonHeader), e
}

// TestDisconnectCancelsRequest checks that a request at a backend server in
// another data centre is cancelled when the caller disconnects.
func TestDisconnectCancelsRequest(t *testing.T) {
	m := startMesh(t, mesh.WithReplicas(1), mesh.WithServiceTime(time.Minute), mesh.WithCatalogue(func(k *lavenderridge.Catalogue) {
		k.DataCentres[0].State = lavenderridge.OutOfService
		for i := range k.Entries {
			k.Entries[i].Timeout = time.Minute
		}
	}))
	c, f := context.WithCancel(context.Background())
	defer f()
	go func() { _, _, _ = get(c, m.Members[0].CallerAddress(), "/roster/read") }()
	until(t, 5*time.Second, func() bool { return recorded(m, backendserver.RunBegun) == 1 })
	f()
	until(t, 2*time.Second, func() bool { return recorded(m, backendserver.RunAborted) == 1 })
}

// recorded returns the number of runs in the state s at all backend servers.
func recorded(m *mesh.Mesh, s backendserver.RunState) int {
	n := 0
	for _, i := range m.Members {
		for _, r := range i.Backend.RunLog() {
			if r.State == s {
				n++
			}
		}
	}
	return n
}

func until(t *testing.T, d time.Duration, f func() bool) {
	t.Helper()
	for e := time.Now().Add(d); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(e) {
			t.Fatalf("condition not met within %s", d)
		}
	}
}

// TestUnresponsiveLinks checks that idempotent requests succeed within their
// deadline of 2 s when all connections between daemons become unresponsive.
func TestUnresponsiveLinks(t *testing.T) {
	m := startMesh(t, mesh.WithReplicas(1), mesh.WithDataCentres("fukuoka", "kumamoto", "saga"), mesh.WithCatalogue(func(k *lavenderridge.Catalogue) {
		// Every request has to be sent to another data centre.
		k.DataCentres[0].State = lavenderridge.OutOfService
	}))
	c, f := context.WithCancel(context.Background())
	defer f()
	var a []*link.TCP
	for _, n := range m.Members {
		l, e := link.NewTCP(c, n.Instance.Peer)
		if e != nil {
			t.Fatal(e)
		}
		a = append(a, l)
		n.Instance.Peer = l.Address()
	}
	if e := m.PublishInstances(); e != nil {
		t.Fatal(e)
	}
	waitFor(t, m, func(d *assembly.Daemon) bool { return d.Status().Versions.InstanceList == 2 })
	for i := range 20 {
		if i == 5 || i == 12 {
			for _, l := range a {
				l.MakeHalfOpen()
			}
		}
		s, v, e := get(c, m.Members[0].CallerAddress(), "/roster/read")
		if e != nil || s != http.StatusOK {
			t.Fatalf("request %d: status %d %s, error %v", i, s, v, e)
		}
	}
}

// TestDataCentreMoves takes a data centre out of service and back into service
// under load. No request may fail, and none may begin there once all daemons have
// accepted the change, except those that its daemons had admitted before.
func TestDataCentreMoves(t *testing.T) {
	m := startMesh(t, mesh.WithReplicas(2))
	p := load.Plan{
		Mix: []load.Share{{Path: "/roster/read", Weight: 3}, {Path: "/roster/write", Weight: 1, Keyed: true}},
		// The stand-in backend servers can handle far more than this rate.
		Rate: 300, Concurrency: 64, Duration: 6 * time.Second, Timeout: 2 * time.Second, Seed: 1,
	}
	for _, n := range m.Members {
		p.Targets = append(p.Targets, n.CallerAddress())
	}
	c := context.Background()
	// Keyed requests are refused until the homes are active.
	if e := m.WaitReady(c); e != nil {
		t.Fatal(e)
	}
	g, e := load.NewGenerator(c, p)
	if e != nil {
		t.Fatal(e)
	}
	r := make(chan *load.Report, 1)
	go func() { r <- g.Run(c) }()
	time.Sleep(time.Second)
	move(t, m, lavenderridge.OutOfService)
	k := inFlight(m, "fukuoka")
	b := runs(m, "fukuoka")
	waitFor(t, m, func(*assembly.Daemon) bool { return inFlight(m, "fukuoka") == 0 })
	if n := runs(m, "fukuoka") - b; n > k {
		t.Errorf("%d requests began in the data centre that is out of service; want at most the %d in flight", n, k)
	}
	b = runs(m, "fukuoka")
	time.Sleep(2 * time.Second)
	if n := runs(m, "fukuoka") - b; n > 0 {
		t.Errorf("%d requests began in the data centre that is out of service; want 0", n)
	}
	move(t, m, lavenderridge.InService)
	b = runs(m, "fukuoka")
	v := <-r
	if v.Counts.Answered != v.Counts.Sent {
		t.Errorf("%+v; want as many answered as sent", v.Counts)
	}
	if runs(m, "fukuoka") == b {
		t.Error("no request ran in the data centre after it was back in service")
	}
}

// move sets the state of the data centre fukuoka to s and waits until all daemons
// have accepted it.
func move(t *testing.T, m *mesh.Mesh, s lavenderridge.ServiceState) {
	t.Helper()
	v := m.Members[0].Daemon.Status().Versions.Catalogue
	if e := m.SetDataCentre("fukuoka", s); e != nil {
		t.Fatal(e)
	}
	waitFor(t, m, func(d *assembly.Daemon) bool { return d.Status().Versions.Catalogue > v })
}

// inFlight returns the number of requests that the daemons in the data centre d have
// admitted and not completed.
func inFlight(m *mesh.Mesh, d lavenderridge.DataCentreID) int {
	n := 0
	for _, i := range m.Members {
		if i.Instance.DataCentre == d {
			n += int(i.Daemon.Status().Load.InFlight)
		}
	}
	return n
}

func runs(m *mesh.Mesh, d lavenderridge.DataCentreID) int {
	n := 0
	for _, i := range m.Members {
		if i.Instance.DataCentre == d {
			n += len(i.Backend.RunCounts())
		}
	}
	return n
}
