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
	policy "github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/peerhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// A Daemon routes the requests of callers and controls access to the one backend
// server that it runs beside.
type Daemon struct {
	config Config
	log    *zap.Logger
	clock  lavenderridge.Clock
	// steadyClock is nil unless WithSteadyClock is used.
	steadyClock lavenderridge.SteadyClock
	incarnation lavenderridge.Incarnation
	recorder    lavenderridge.Recorder
	observer    lavenderridge.Observer
	metrics     metrics.Registry
	// sourceOnly is set by WithSourceOnly.
	sourceOnly bool
	// service is the service of the backend server beside the daemon.
	service atomic.Pointer[lavenderridge.ServiceID]
	// adapter is nil unless WithAdapter is used.
	adapter lavenderridge.Adapter
	bodies  *policy.BodyBudget
	doors   *doors

	transport     *peerhttp.Transport
	server        *peerhttp.Server
	configuration *configPart
	owner         *ownerPart
	home          *homePart
	quota         *quotaPart
	caller        *callerPart
	records       *operatorRecords
	operator      *operatorPart
	closers       []func() error // called when the daemon exits, in this order
}

// NewDaemon returns a daemon with the settings f and the keys k. Its listening
// sockets are open, but it serves no requests before Run.
func NewDaemon(c context.Context, f Config, k *peertls.Keys, o ...Option) (*Daemon, error) {
	d := &Daemon{
		config: f, log: zap.NewNop(), clock: SystemClock{},
		recorder: discard{}, observer: discard{}, metrics: metrics.NewRegistry(),
		bodies: policy.NewBodyBudget(f.BodyMemory),
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
	metrics.NewRegisteredFunctionalGauge("BodyMemoryBytes", d.metrics, func() int64 { return int64(d.bodies.Used()) })
	d.doors = newDoors(d)
	if d.transport, e = peerhttp.NewTransport(d.config.Peer, k, peerhttp.WithMetrics(d.metrics), peerhttp.WithBodies(d.bodies), peerhttp.WithClients(d.doors.peers)); e != nil {
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
	d.quota = newQuotaPart(d)
	d.server = peerhttp.NewServer(d.transport, peer.NewNotifyingPeer(peer.NewLocalPeer(d.home.handler, d.configuration.exchanger, d.home.homeServer, d.quota.lender), d.sender, d.configuration.gossiper.MessageReceived), d.owner.owner.ResponseSent)
	if d.caller, e = newCallerPart(d); e != nil {
		return e
	}
	d.operator, e = newOperatorPart(d)
	return e
}

// Run serves requests until c ends. Then it shuts down, which waits until the
// requests in flight have ended or StopTimeout has expired.
func (d *Daemon) Run(c context.Context) error {
	g, c := errgroup.WithContext(c)
	// The parts that serve other daemons and operators run until the requests in
	// flight have ended, so that neighbours learn of the shutdown and requests that
	// arrive late are refused.
	p, f := context.WithCancel(context.WithoutCancel(c))
	defer f()
	g.Go(func() error { return d.configuration.run(p) })
	g.Go(func() error { return d.operator.run(p) })
	g.Go(func() error { return d.owner.owner.Run(p) })
	g.Go(func() error { return d.home.run(p) })
	g.Go(func() error { return d.quota.run(p) })
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

// serveCallers serves callers until c ends. It returns when no request of a caller
// or of another daemon is in flight.
func (d *Daemon) serveCallers(c context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return d.owner.stop(c, d) })
	g.Go(func() error { return d.caller.server.Run(c, d.config.StopTimeout) })
	return g.Wait()
}

// Status returns the daemon's state as reported to operators.
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
	d.configuration.addToStatus(&s)
	d.records.addToStatus(&s)
	return s
}

// Apply applies the only setting in f that can change while the daemon runs, the
// service of its backend server. It reports whether that has changed.
func (d *Daemon) Apply(f Config) bool {
	o := d.service.Swap(&f.Service)
	return *o != f.Service
}

// CallerAddress returns the address at which the daemon serves callers.
func (d *Daemon) CallerAddress() lavenderridge.Address {
	return d.caller.address
}

// PeerAddress returns the address at which the daemon serves other daemons.
func (d *Daemon) PeerAddress() lavenderridge.Address {
	return d.transport.Address()
}

// sender returns this daemon as the sender of a message, with its accepted
// versions.
func (d *Daemon) sender() lavenderridge.Sender {
	s := lavenderridge.Sender{
		Instance: d.config.Instance, DataCentre: d.config.DataCentre, Incarnation: d.incarnation,
	}
	if n := d.configuration.store.Snapshot(); n != nil {
		s.Stamps = n.Stamps
	}
	return s
}

// peers returns a dialer for other daemons. It notifies the gossiper of each
// message that they send.
func (d *Daemon) peers() lavenderridge.PeerDialer {
	return peer.NewNotifyingDialer(d.transport, d.configuration.gossiper.MessageReceived)
}

// closeLater registers f to be called when the daemon exits.
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
