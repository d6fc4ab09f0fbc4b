package convergence

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/standin/configservice"
	"github.com/lavenderridge/lavenderridge/internal/standin/port"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

const (
	loopback          lavenderridge.Address = "127.0.0.1:0"
	readHeaderTimeout                       = 5 * time.Second
	keyLifetime                             = 24 * time.Hour
	stopTimeout                             = time.Second
	maxBody                                 = lavenderridge.Mebibyte
	pollInterval                            = 10 * time.Millisecond
	// convergenceTimeout bounds the wait for all daemons to reach a state. Those
	// that have not reached it by then count as timed out.
	convergenceTimeout = 60 * time.Second
)

// fleet is a set of daemons in this process, with a stand-in for the config
// service as their source.
type fleet struct {
	plan      Plan
	options   []assembly.Option
	authority *peertls.Authority
	source    *configservice.Server
	// server serves the source.
	server *http.Server
	// address is the address of the source.
	address lavenderridge.Address
	// instances, keys and daemons have the same indexes.
	instances []lavenderridge.Instance
	keys      []*peertls.Keys
	daemons   []*assembly.Daemon
	// context is the context of the running daemons; stop cancels it.
	context context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	// revision is the number of documents published so far.
	revision int
}

// newFleet starts the source and prepares n daemons, which start runs.
func newFleet(p Plan, n int, o ...assembly.Option) (*fleet, error) {
	a, e := peertls.NewAuthority(time.Now(), keyLifetime)
	if e != nil {
		return nil, e
	}
	l, e := net.Listen("tcp", string(loopback))
	if e != nil {
		return nil, fmt.Errorf("convergence: listen for the source: %w", e)
	}
	f := &fleet{
		plan: p, options: o, authority: a, source: configservice.NewServer(0),
		address: lavenderridge.Address(l.Addr().String()),
	}
	f.server = &http.Server{Handler: f.source, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = f.server.Serve(l) }()
	k := port.NewPicker()
	for i := range n {
		if e := f.add(i, k); e != nil {
			return nil, e
		}
	}
	return f, nil
}

// add adds the instance and the key of the daemon i. The daemon listens at the
// same address again after a restart of the fleet.
func (f *fleet) add(i int, k *port.Picker) error {
	a, e := k.Free()
	if e != nil {
		return e
	}
	v := lavenderridge.Instance{
		ID: lavenderridge.InstanceID(fmt.Sprintf("instance-%05d", i)), DataCentre: dataCentre(i),
		Service: service(i, f.plan.Services), Peer: a, State: lavenderridge.InstanceLive,
	}
	c, e := f.authority.Issue(peertls.Identity{Instance: v.ID, DataCentre: v.DataCentre}, time.Now(), keyLifetime)
	if e != nil {
		return e
	}
	f.instances = append(f.instances, v)
	f.keys = append(f.keys, peertls.NewKeys(c, f.authority.Pool()))
	return nil
}

// start creates all daemons, publishes both documents if none has been published
// yet, and runs all daemons concurrently.
func (f *fleet) start(c context.Context) error {
	c, f.stop = context.WithCancel(c)
	f.context = c
	f.daemons = f.daemons[:0]
	for i := range f.instances {
		n := &f.instances[i]
		d, e := assembly.NewDaemon(c, assembly.Config{
			Instance: n.ID, DataCentre: n.DataCentre, Service: n.Service, ConfigService: f.address,
			Backend: "127.0.0.1:1", Connections: 1, Caller: loopback, Peer: n.Peer, Operator: loopback,
			MaxBody: maxBody, StopTimeout: stopTimeout, FleetSize: f.plan.Listed,
		}, f.keys[i], f.options...)
		if e != nil {
			return e
		}
		f.daemons = append(f.daemons, d)
	}
	if f.revision == 0 {
		if e := f.publishBoth(); e != nil {
			return e
		}
	}
	for _, d := range f.daemons {
		f.running.Go(func() { _ = d.Run(c) })
	}
	return nil
}

func (f *fleet) publishBoth() error {
	if _, e := f.publish(lavenderridge.DocumentInstanceList); e != nil {
		return e
	}
	_, e := f.publish(lavenderridge.DocumentCatalogue)
	return e
}

// publish publishes a new revision of the document d and returns its version.
func (f *fleet) publish(d lavenderridge.DocumentName) (lavenderridge.Version, error) {
	f.revision++
	b := catalogue(f.plan.Services, f.revision)
	if d == lavenderridge.DocumentInstanceList {
		var e error
		if b, e = instances(f.instances, f.plan.Listed, f.plan.Services, f.revision); e != nil {
			return 0, e
		}
	}
	return f.source.Publish(d, b), nil
}

// await waits until p is true of every daemon's status, or until
// convergenceTimeout. It returns the latencies from the time t to the time that g
// returns for the first status of each daemon for which p is true.
func (f *fleet) await(t time.Time, p func(*operatorhttp.Status) bool, g func(*operatorhttp.Status) time.Time) Latencies {
	a := make([]time.Duration, 0, len(f.daemons))
	k := make([]bool, len(f.daemons))
	for f.context.Err() == nil && time.Since(t) < convergenceTimeout && len(a) < len(f.daemons) {
		time.Sleep(pollInterval)
		for i, d := range f.daemons {
			if k[i] {
				continue
			}
			if s := d.Status(); p(&s) {
				k[i] = true
				a = append(a, g(&s).Sub(t))
			}
		}
	}
	return newLatencies(a, len(f.daemons)-len(a))
}

// stopDaemons stops all daemons and waits until they have ended.
func (f *fleet) stopDaemons() {
	f.stop()
	f.running.Wait()
}

// close stops the daemons and the source.
func (f *fleet) close() {
	f.stopDaemons()
	_ = f.server.Close()
}
