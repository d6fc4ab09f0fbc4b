package assembly

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/peer"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/peerhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// A Daemon is the process beside one backend server.
type Daemon struct {
	config      Config
	log         *zap.Logger
	clock       lavenderridge.Clock
	incarnation lavenderridge.Incarnation
	recorder    lavenderridge.Recorder
	observer    lavenderridge.Observer
	metrics     metrics.Registry
	sourceOnly  bool
	// service is that of the backend server beside the daemon.
	service atomic.Pointer[lavenderridge.ServiceID]
	adapter lavenderridge.Adapter

	transport     *peerhttp.Transport
	server        *peerhttp.Server
	configuration *configPart
	owner         *ownerPart
	home          *homePart
	entry         *entryPart
	records       *operatorRecords
	operator      *operatorPart
	closers       []func() error
}

// NewDaemon returns a daemon with the settings f and the keys k. Its sockets
// are open when it returns.
func NewDaemon(c context.Context, f Config, k *peertls.Keys, o ...Option) (*Daemon, error) {
	d := &Daemon{
		config: f, log: zap.NewNop(), clock: SystemClock{},
		recorder: discard{}, observer: discard{}, metrics: metrics.NewRegistry(),
	}
	for _, v := range o {
		v(d)
	}
	d.service.Store(&f.Service)
	d.incarnation = lavenderridge.Incarnation(d.clock.Now().UnixNano())
	if e := d.open(c, k); e != nil {
		return nil, errors.Join(e, d.close())
	}
	return d, nil
}

func (d *Daemon) open(c context.Context, k *peertls.Keys) (e error) {
	d.records = newOperatorRecords(d, k)
	if d.transport, e = peerhttp.NewTransport(d.config.Peer, k, peerhttp.WithMetrics(d.metrics)); e != nil {
		return e
	}
	d.closeLater(d.transport.Close)
	if d.configuration, e = newConfigPart(c, d); e != nil {
		return e
	}
	if d.owner, e = newOwnerPart(c, d); e != nil {
		return e
	}
	d.home = newHomePart(d)
	d.server = peerhttp.NewServer(d.transport, peer.NewNotifyingPeer(peer.NewLocalPeer(d.home.handler, d.configuration.exchanger, d.home.keeper), d.sender, d.configuration.spreader.MessageReceived), d.owner.owner.Sent)
	if d.entry, e = newEntryPart(d); e != nil {
		return e
	}
	d.operator, e = newOperatorPart(d)
	return e
}

// Run serves until c ends, and then stops without cutting a running request.
func (d *Daemon) Run(c context.Context) error {
	g, c := errgroup.WithContext(c)
	// What other daemons and operators need outlives the requests in flight:
	// neighbours hear that this daemon leaves, and late requests are refused.
	p, f := context.WithCancel(context.WithoutCancel(c))
	defer f()
	g.Go(func() error { return d.configuration.run(p) })
	g.Go(func() error { return d.operator.run(p) })
	g.Go(func() error { return d.owner.owner.Run(p) })
	g.Go(func() error { return d.home.run(p) })
	g.Go(func() error { return d.server.Serve(p) })
	g.Go(func() error {
		defer f()
		defer d.home.stop(c, d.config.StopTimeout)
		return d.serveCallers(c)
	})
	d.log.Info("DaemonStarted", zap.String("Instance", string(d.config.Instance)))
	e := g.Wait()
	d.log.Info("DaemonStopped", zap.Error(e))
	return errors.Join(e, d.close())
}

// serveCallers answers callers until c ends, and returns when no request of a
// caller or of another daemon is in flight.
func (d *Daemon) serveCallers(c context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return d.owner.stop(c, d) })
	g.Go(func() error { return d.entry.server.Run(c, d.config.StopTimeout) })
	return g.Wait()
}

// Status returns what the daemon says of itself.
func (d *Daemon) Status() operatorhttp.Status {
	s := operatorhttp.Status{
		Instance: d.config.Instance, DataCentre: d.config.DataCentre, Service: *d.service.Load(),
		Incarnation: d.incarnation, Load: d.owner.load(), Leaving: d.owner.leaving(),
		Ready: d.configuration.Ready(d.clock.Now()) == nil,
	}
	s.Home = d.home.status()
	if n := d.configuration.store.Snapshot(); n != nil {
		s.Versions, s.AcceptedAt = n.Versions(), n.AcceptedAt
		s.CatalogueDigest, s.InstanceListDigest = n.Stamps.Catalogue.Digest.String(), n.Stamps.InstanceList.Digest.String()
	}
	d.configuration.status(&s)
	d.records.fill(&s)
	return s
}

// Apply puts in force what of the settings f can change while the daemon runs:
// the service of its backend server. It reports whether anything changed.
func (d *Daemon) Apply(f Config) bool {
	o := d.service.Swap(&f.Service)
	return *o != f.Service
}

// CallerAddress returns where the daemon answers callers.
func (d *Daemon) CallerAddress() lavenderridge.Address {
	return d.entry.address
}

// PeerAddress returns where the daemon answers other daemons.
func (d *Daemon) PeerAddress() lavenderridge.Address {
	return d.transport.Address()
}

func (d *Daemon) sender() lavenderridge.Sender {
	s := lavenderridge.Sender{
		Instance: d.config.Instance, DataCentre: d.config.DataCentre, Incarnation: d.incarnation,
	}
	if n := d.configuration.store.Snapshot(); n != nil {
		s.Stamps = n.Stamps
	}
	return s
}

// peers returns the way to other daemons.
func (d *Daemon) peers() lavenderridge.PeerDialer {
	return peer.NewNotifyingDialer(d.transport, d.configuration.spreader.MessageReceived)
}

func (d *Daemon) closeLater(f func() error) {
	d.closers = append(d.closers, f)
}

func (d *Daemon) close() error {
	var a []error
	for _, f := range d.closers {
		if e := f(); e != nil && !errors.Is(e, net.ErrClosed) {
			a = append(a, e)
		}
	}
	return errors.Join(a...)
}
