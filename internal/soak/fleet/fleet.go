package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/soak/judge"
	"github.com/lavenderridge/lavenderridge/internal/soak/plan"
	"github.com/lavenderridge/lavenderridge/internal/standin/configservice"
	"github.com/lavenderridge/lavenderridge/internal/standin/port"
	"github.com/lavenderridge/lavenderridge/internal/transport/cataloguetoml"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

const (
	filePermission = 0o600
	keyLifetime    = 24 * time.Hour
	stopTimeout    = 4 * time.Second
	serviceTime    = 5 * time.Millisecond
	service        = lavenderridge.ServiceID("roster")
	slots          = lavenderridge.Slots(10)
	connections    = 130
	queue          = 20
	entryTimeout   = 2 * time.Second
	// readyTimeout is the time within which all daemons must become ready and
	// active as homes.
	readyTimeout = 20 * time.Second
	// settlePeriod is the time without faults before the last checks: requests for
	// a key whose home has changed wait until all instances have acknowledged the
	// change or were removed from the list.
	settlePeriod = 8 * time.Second
)

const settingsFormat = `Instance = %q
DataCentre = %q
Service = %q
[ConfigService]
Address = %q
[Backend]
Address = %q
[Caller]
Address = %q
[Peer]
Address = %q
[Operator]
Address = %q
[Limits]
StopTimeout = "%s"
[Keys]
Authority = %q
Certificate = %q
Key = %q
`

// A Fleet is a set of daemon processes with simulated backend servers and a
// simulated configuration service.
type Fleet struct {
	plan      *plan.Plan
	binary    string
	source    *configservice.Server
	http      *httptest.Server
	processes []*process
	catalogue *lavenderridge.Catalogue

	mutex        sync.Mutex
	history      judge.History
	outOfService map[lavenderridge.DataCentreID]time.Time
}

// NewFleet prepares the daemons of the plan p, which run the program b and store
// their files in the folder d. It starts the simulated servers, but no daemon. The
// links run until c ends.
func NewFleet(c context.Context, p *plan.Plan, b, d string) (*Fleet, error) {
	f := &Fleet{
		plan: p, binary: b, source: configservice.NewServer(0), outOfService: map[lavenderridge.DataCentreID]time.Time{},
		history: judge.History{Slots: slots, PeakInFlight: map[lavenderridge.InstanceID]lavenderridge.Slots{}},
	}
	f.http = httptest.NewServer(f.source)
	a, e := peertls.NewAuthority(time.Now(), keyLifetime)
	if e != nil {
		return nil, e
	}
	var l lavenderridge.InstanceList
	m := port.NewPicker()
	for i := range p.Daemons {
		n := lavenderridge.Instance{
			ID: lavenderridge.InstanceID(fmt.Sprintf("n-%02d", i)), DataCentre: dataCentreID(i % p.DataCentres),
			Service: service, State: lavenderridge.InstanceLive,
		}
		v, e := newProcess(c, d, n, a, m, lavenderridge.Address(strings.TrimPrefix(f.http.URL, "http://")))
		if e != nil {
			return nil, e
		}
		f.processes = append(f.processes, v)
		l.Instances = append(l.Instances, v.instance)
	}
	t, e := instancesjson.Format(&l)
	if e != nil {
		return nil, e
	}
	f.source.Publish(lavenderridge.DocumentInstanceList, t)
	f.catalogue = newCatalogue(p.DataCentres)
	f.catalogue.Customers = newCustomers(p.Customers)
	return f, f.publish()
}

func dataCentreID(i int) lavenderridge.DataCentreID {
	return lavenderridge.DataCentreID(fmt.Sprintf("dc-%d", i))
}

func newCatalogue(c int) *lavenderridge.Catalogue {
	k := &lavenderridge.Catalogue{Services: []lavenderridge.Service{{ID: service, Slots: slots, Connections: connections, Queue: queue}}}
	for i := range c {
		k.DataCentres = append(k.DataCentres, lavenderridge.DataCentre{ID: dataCentreID(i), Region: "region", State: lavenderridge.InService})
	}
	for _, n := range []string{readPath, writePath} {
		k.Entries = append(k.Entries, lavenderridge.Entry{
			ID: lavenderridge.EntryID(n), Owner: "operators", Class: lavenderridge.ClassNormal, Service: service,
			PathPrefix: "/" + n, Idempotent: n == readPath, Timeout: entryTimeout,
			Objective: lavenderridge.Objective{Success: 0.99, Latency: entryTimeout},
		})
	}
	return k
}

// publish publishes f.catalogue and records its version. The caller holds f.mutex
// while the fleet runs.
func (f *Fleet) publish() error {
	b, e := cataloguetoml.Format(f.catalogue)
	if e != nil {
		return e
	}
	f.history.Latest = f.source.Publish(lavenderridge.DocumentCatalogue, b)
	f.history.Publications = append(f.history.Publications, judge.Publication{Version: f.history.Latest, Time: time.Now()})
	return nil
}

// Run starts the daemons, injects the faults of the plan under the load of callers,
// stops the daemons and returns the recorded history.
func (f *Fleet) Run(c context.Context) (*judge.History, error) {
	defer f.http.Close()
	defer f.http.CloseClientConnections()
	for _, p := range f.processes {
		defer p.backend.Close()
		if e := p.start(f.binary); e != nil {
			return nil, errors.Join(e, f.killAll())
		}
	}
	if e := f.runPlan(c); e != nil {
		return nil, errors.Join(e, f.killAll())
	}
	var w sync.WaitGroup
	for _, p := range f.processes {
		w.Go(func() {
			if e := p.stop(); e != nil {
				f.recordExitError(e)
			}
		})
	}
	w.Wait()
	for _, p := range f.processes {
		f.history.PeakInFlight[p.instance.ID] = p.backend.Peak()
		for _, r := range p.backend.RunLog() {
			f.history.Runs = append(f.history.Runs, judge.Run{
				Request: r.Request, Key: r.Key, Instance: p.instance.ID, DataCentre: p.instance.DataCentre, Begun: r.Begun,
				Customer: r.Customer, KeyShown: r.KeyShown,
			})
		}
	}
	return &f.history, nil
}

func (f *Fleet) killAll() error {
	var a []error
	for _, p := range f.processes {
		if p.command != nil {
			a = append(a, p.kill())
		}
	}
	return errors.Join(a...)
}

// runPlan runs the callers and injects the faults, then sends the requests that
// show whether the fleet has recovered.
func (f *Fleet) runPlan(c context.Context) error {
	if e := f.waitReady(c); e != nil {
		return e
	}
	x, n := context.WithCancel(c)
	defer n()
	var w errgroup.Group
	for i := range callerCount {
		w.Go(func() error { return f.call(x, i) })
	}
	for i := range strangerCount {
		w.Go(func() error { return f.intrude(x, i) })
	}
	w.Go(func() error { return f.sampleVersions(x) })
	e := f.injectFaults(c)
	if e == nil {
		e = lavenderridge.Sleep(c, settlePeriod)
	}
	n()
	e = errors.Join(e, w.Wait())
	if e != nil {
		return e
	}
	f.probe(c)
	return nil
}

// waitReady returns when all daemons are ready and active as homes.
func (f *Fleet) waitReady(c context.Context) error {
	c, n := context.WithTimeout(c, readyTimeout)
	defer n()
	for _, p := range f.processes {
		for {
			s, e := status(c, p)
			if e == nil && s.Ready && s.Home.Active {
				break
			}
			if e := lavenderridge.Sleep(c, samplePeriod); e != nil {
				return fmt.Errorf("fleet: wait until %s is ready: %w", p.instance.ID, e)
			}
		}
	}
	return nil
}

func status(c context.Context, p *process) (*operatorhttp.Status, error) {
	l, e := operatorhttp.NewClient(c, p.operator)
	if e != nil {
		return nil, e
	}
	defer func() { _ = l.Close() }()
	s, e := l.Status(c)
	return &s, e
}

// probe checks that all daemons have the latest catalogue and sends
// probesPerDaemon requests to each.
func (f *Fleet) probe(c context.Context) {
	for _, p := range f.processes {
		if s, e := status(c, p); e != nil || s.Versions.Catalogue != f.history.Latest {
			f.history.Outdated = append(f.history.Outdated, p.instance.ID)
		}
		h := newHTTPClient()
		for i := range probesPerDaemon {
			f.history.Probes++
			if r := f.send(c, h, p, http.MethodGet, readPath, "", f.credentials(i, 0)).Result; r == judge.Answered {
				f.history.Answered++
			}
		}
		h.CloseIdleConnections()
	}
}

// recordExitError records the error of a daemon that did not exit as it should.
func (f *Fleet) recordExitError(e error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.history.ExitErrors = append(f.history.ExitErrors, e.Error())
}
