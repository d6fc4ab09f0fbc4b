package assembly

import (
	"context"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

// ownerPart forwards requests to the daemon's own backend server.
type ownerPart struct {
	service  lavenderridge.ServiceID
	owner    *backendserver.OwnerHandler
	handler  lavenderridge.Handler
	suspects lavenderridge.SuspectStore
	stopping atomic.Bool // set as soon as a shutdown begins
}

func newOwnerPart(c context.Context, d *Daemon) (*ownerPart, error) {
	var h *backendserver.OwnerHandler
	b, e := backendhttp.NewClient(c, d.config.Backend, d.config.Connections, d.config.MaxBody, append(backendOptions(d),
		backendhttp.WithNotices(func(r *lavenderridge.Request, n lavenderridge.Notice) { h.HearNotice(r, n) }))...)
	if e != nil {
		return nil, e
	}
	d.closeLater(b.Close)
	o := []backendserver.OwnerOption{
		backendserver.WithClock(d.clock),
		backendserver.WithRecorder(d.recorder),
		backendserver.WithReadiness(d.configuration),
	}
	if d.configuration.freshness != nil {
		o = append(o, backendserver.WithFreshness(d.configuration.freshness))
	}
	if d.adapter != nil {
		o = append(o, backendserver.WithListedCapacity(d.config.ColdFactor, d.config.ColdSlack, d.config.LinkRate))
	}
	h = backendserver.NewOwnerHandler(d.configuration.store, d.sender, b, o...)
	u := backendserver.NewCustomerHandler(callerProtocol(d).CustomerFields(), d.configuration.store, d.config.Instance, h)
	metrics.NewRegisteredFunctionalGauge("QueueStanding", d.metrics, func() int64 {
		if h.QueueStanding() {
			return 1
		}
		return 0
	})
	return &ownerPart{service: d.config.Service, owner: h, handler: u, suspects: h.Suspects()}, nil
}

// backendOptions returns the options that the settings and the adapter require, if
// there is one.
func backendOptions(d *Daemon) []backendhttp.Option {
	if d.adapter == nil {
		return nil
	}
	return []backendhttp.Option{
		backendhttp.WithProtocol(backendProtocol(d)),
		backendhttp.WithHealthPath(func() string {
			if s := d.configuration.store.Snapshot(); s != nil {
				if v := s.Service(*d.service.Load()); v != nil {
					return v.HealthPath
				}
			}
			return ""
		}),
	}
}

// backendProtocol returns the protocol of backend servers.
func backendProtocol(d *Daemon) lavenderridge.BackendProtocol {
	if d.adapter == nil {
		return backendhttp.Protocol{}
	}
	return d.adapter.Backends()
}

func (p *ownerPart) load() lavenderridge.Load {
	return p.owner.Load(p.service)
}

// leaving reports whether the daemon is shutting down, so that it should receive
// no new requests.
func (p *ownerPart) leaving() bool {
	return p.stopping.Load()
}

// stop shuts down the owner when c ends. The status Leaving is set immediately,
// but requests are still accepted for the stop delay, so that callers and other
// daemons can learn of the shutdown. It returns nil when the requests in flight
// have ended and no more arrive, or an error if they have not ended within
// StopTimeout.
func (p *ownerPart) stop(c context.Context, d *Daemon) error {
	<-c.Done()
	p.stopping.Store(true)
	c = context.WithoutCancel(c)
	if e := lavenderridge.Sleep(c, d.config.StopDelay); e != nil {
		return e
	}
	p.owner.StopAccepting()
	x, f := context.WithTimeout(c, d.config.StopTimeout)
	defer f()
	if e := p.owner.Drain(x); e != nil {
		return e
	}
	return p.owner.WaitIdle(c)
}
