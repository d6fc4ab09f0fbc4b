package lavenderridge_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/standin/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// processFleet is a fleet of daemons in two data centres, each a process of its
// own, with one configuration service.
type processFleet struct {
	binary string
	source *configservice.Server
	all    []*process
}

// newProcessFleet starts n daemons and waits until they have accepted the first
// catalogue.
func newProcessFleet(t *testing.T, n int) *processFleet {
	t.Helper()
	f := &processFleet{binary: buildBinary(t), source: configservice.NewServer(0)}
	h := httptest.NewServer(f.source)
	t.Cleanup(h.Close)
	a, e := peertls.NewAuthority(time.Now(), time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	var l lavenderridge.InstanceList
	for i := range n {
		l.Instances = append(l.Instances, lavenderridge.Instance{
			ID: lavenderridge.InstanceID(fmt.Sprintf("roster-%d", i)), DataCentre: []lavenderridge.DataCentreID{"fukuoka", "kumamoto"}[i%2],
			Service: "roster", Peer: lavenderridge.Address(freeAddress(t)), State: lavenderridge.InstanceLive,
		})
	}
	b, e := instancesjson.Format(&l)
	if e != nil {
		t.Fatal(e)
	}
	f.source.Publish(lavenderridge.DocumentInstanceList, b)
	f.publish(lavenderridge.InService)
	for _, v := range l.Instances {
		p := prepareProcess(t, strings.TrimPrefix(h.URL, "http://"), a, v)
		p.start(t, f.binary)
		f.all = append(f.all, p)
		t.Cleanup(func() { p.kill(t) })
	}
	f.awaitCatalogue(t, f.all, 1)
	return f
}

// publish publishes the catalogue with the data centre fukuoka in the state s
// and returns its version.
func (f *processFleet) publish(s lavenderridge.ServiceState) lavenderridge.Version {
	return f.source.Publish(lavenderridge.DocumentCatalogue, fmt.Appendf(nil, endToEndCatalogue, s))
}

// awaitCatalogue waits until the daemons a are ready with version v of the
// catalogue.
func (f *processFleet) awaitCatalogue(t *testing.T, a []*process, v lavenderridge.Version) {
	t.Helper()
	b := time.Now()
	for _, p := range a {
		eventually(t, 10*time.Second, fmt.Sprintf("%s ready with catalogue %d", p.instance.ID, v), func() bool {
			s, e := p.status()
			return e == nil && s.Ready && s.Versions.Catalogue == v
		})
	}
	t.Logf("%d daemons ready with catalogue %d after %s", len(a), v, time.Since(b).Round(time.Millisecond))
}

// status returns the status that the daemon reports at its operator address.
func (p *process) status() (s operatorhttp.Status, e error) {
	_, _, b, e := get("http://" + p.operator + "/status")
	if e == nil {
		e = json.Unmarshal([]byte(b), &s)
	}
	return s, e
}

// TestKilledDuringOutage guards against daemons that cannot restart while the
// configuration service is down. A daemon is killed during an outage and starts
// again without any state. It must become ready with the accepted versions of a
// neighbour.
func TestKilledDuringOutage(t *testing.T) {
	f := newProcessFleet(t, 4)
	v := f.publish(lavenderridge.InService)
	f.awaitCatalogue(t, f.all, v)
	f.source.SetDown(true)
	f.all[0].kill(t)
	f.all[0].start(t, f.binary)
	f.awaitCatalogue(t, f.all, v)
	s, e := f.all[0].status()
	if e != nil || s.CatalogueOrigin == lavenderridge.OriginSource || s.InstanceListOrigin == lavenderridge.OriginSource {
		t.Errorf("catalogue origin %q, list origin %q, error %v; want both from a neighbour", s.CatalogueOrigin, s.InstanceListOrigin, e)
	}
	if s, _, _, e := get("http://" + f.all[0].caller + "/roster/1"); e != nil || s != 200 {
		t.Errorf("status %d, error %v", s, e)
	}
	f.source.SetDown(false)
	f.awaitCatalogue(t, f.all, f.publish(lavenderridge.InService))
}

// TestPausedDaemon guards against a paused daemon that accepts requests under
// an outdated catalogue. A daemon is paused by SIGSTOP while a data centre is
// taken out of service. After SIGCONT it must not be ready before it has the
// new version.
func TestPausedDaemon(t *testing.T) {
	f := newProcessFleet(t, 4)
	p := f.all[1]
	if e := p.command.Process.Signal(syscall.SIGSTOP); e != nil {
		t.Fatal(e)
	}
	v := f.publish(lavenderridge.OutOfService)
	f.awaitCatalogue(t, []*process{f.all[0], f.all[2], f.all[3]}, v)
	time.Sleep(3 * time.Second)
	if e := p.command.Process.Signal(syscall.SIGCONT); e != nil {
		t.Fatal(e)
	}
	for b := time.Now(); time.Since(b) < time.Second; {
		s, e := p.status()
		if e == nil && s.Ready && s.Versions.Catalogue < v {
			t.Fatalf("ready with catalogue %d after a pause; the other daemons have accepted %d", s.Versions.Catalogue, v)
		}
	}
	f.awaitCatalogue(t, f.all, v)
}

// TestSimultaneousRestart guards against a thundering herd at the configuration service. All
// daemons are killed and start again together, without any state.
func TestSimultaneousRestart(t *testing.T) {
	f := newProcessFleet(t, 8)
	v := f.publish(lavenderridge.InService)
	f.awaitCatalogue(t, f.all, v)
	// Each daemon reads the list at most once. Two readers in each of the two data
	// centres watch both documents, with a new call every 5 s.
	const watches, watch = 8, 5 * time.Second
	n, _ := f.source.Calls()
	b := time.Now()
	for _, p := range f.all {
		p.kill(t)
	}
	for _, p := range f.all {
		p.start(t, f.binary)
	}
	f.awaitCatalogue(t, f.all, v)
	m, r := f.source.Calls()
	t.Logf("%d calls to the configuration service, %d refused", m-n, r)
	if l := uint64(len(f.all) + watches*(1+int(time.Since(b)/watch))); m-n > l {
		t.Errorf("%d calls to the configuration service by %d daemons; want at most %d", m-n, len(f.all), l)
	}
}
