package assembly

import (
	"fmt"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/caller"
	callerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/caller"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

// callerPart serves callers.
type callerPart struct {
	server  *callerhttp.Server
	address lavenderridge.Address
}

func newCallerPart(d *Daemon) (*callerPart, error) {
	l, e := net.Listen("tcp", string(d.config.Caller))
	if e != nil {
		return nil, fmt.Errorf("assembly: caller address: %w", e)
	}
	d.closeLater(l.Close)
	return &callerPart{
		server:  callerhttp.NewServer(l, newEntryHandler(d), d.config.MaxBody, callerOptions(d)...),
		address: lavenderridge.Address(l.Addr().String()),
	}, nil
}

func callerOptions(d *Daemon) []callerhttp.Option {
	o := []callerhttp.Option{
		callerhttp.WithProtocol(callerProtocol(d)),
		callerhttp.WithCaller(func() lavenderridge.ServiceID { return *d.service.Load() }),
		callerhttp.WithStopDelay(d.config.StopDelay),
		callerhttp.WithBodies(d.bodies),
		callerhttp.WithClients(d.doors.callers),
		callerhttp.WithMaxFields(d.config.HeaderFields),
		callerhttp.WithLimits(func() lavenderridge.CallerLimits {
			if s := d.configuration.store.Snapshot(); s != nil {
				return s.Catalogue.Callers
			}
			return lavenderridge.CallerLimits{}
		}),
	}
	if d.config.SendPause > 0 {
		o = append(o, callerhttp.WithSendPause(d.config.SendPause))
	}
	return o
}

// newEntryHandler returns the chain of handlers for callers' requests. Its code
// begins with the innermost handler.
func newEntryHandler(d *Daemon) lavenderridge.Handler {
	t := d.clock.Now()
	r, g, p := newRouting(d)
	f := caller.NewForwardHandler(r, g, d.home.router, d.clock, d.peers(), d.sender, d.home.handler, caller.WithNotices(backendProtocol(d).Notice))
	a := caller.NewRetryHandler(p, d.configuration.store, d.clock, freshAttempter(d, f), d.recorder)
	l := caller.NewLimitHandler(callerpolicy.NewEntryLimiter(t, 0), newShedder(d, t), d.clock, a)
	q := caller.NewQuotaHandler(d.quota.borrower, d.clock, l)
	o := caller.NewObserveHandler(d.observer, d.clock, d.config.DataCentre, freshnessHandler(d, q))
	u := caller.NewCustomerHandler(callerProtocol(d).CustomerFields(), d.clock, d.recorder, o)
	metrics.NewRegisteredFunctionalGauge("RequestsUnauthenticated", d.metrics, u.Refused)
	return caller.NewReturnHandler(d.clock, caller.NewEntryHandler(d.configuration, d.configuration.store, d.clock, d.config.Instance, u))
}

// callerProtocol returns the protocol of callers.
func callerProtocol(d *Daemon) lavenderridge.CallerProtocol {
	if d.adapter == nil {
		return callerhttp.Protocol{}
	}
	return d.adapter.Callers()
}

// freshnessHandler returns n, or a handler before it that refuses requests with a key while
// the catalogue is too old.
func freshnessHandler(d *Daemon, n caller.SnapshotHandler) caller.SnapshotHandler {
	if d.configuration.freshness == nil {
		return n
	}
	return caller.NewFreshnessHandler(d.configuration.freshness, n)
}

// freshAttempter returns n, or an attempter before it that does so for each attempt.
func freshAttempter(d *Daemon, n caller.Attempter) caller.Attempter {
	if d.configuration.freshness == nil {
		return n
	}
	return caller.NewFreshAttempter(d.configuration.freshness, n)
}

// newShedder returns the load shedder for overloaded services, or nil if owners
// take the capacity of their backend servers from the instance list.
func newShedder(d *Daemon, t time.Time) *callerpolicy.Shedder {
	if d.adapter != nil {
		return nil
	}
	return callerpolicy.NewShedder(t, nil)
}

// newRouting returns the router, the tracker that records the results of its
// choices, and the retry policy.
func newRouting(d *Daemon) (lavenderridge.Router, lavenderridge.Tracker, *callerpolicy.RetryPolicy) {
	if d.config.PlainRouting {
		return callerpolicy.NewRoundRobinRouter(), discard{}, callerpolicy.NewRetryPolicy(callerpolicy.WithAttempts(1))
	}
	var o []callerpolicy.RouterOption
	if d.adapter != nil {
		o = append(o, callerpolicy.WithLeastCost())
	}
	b := callerpolicy.NewBalancedRouter(d.config.Instance, d.config.DataCentre, d.clock.Now(), o...)
	metrics.NewRegisteredFunctionalGauge("LimitsInForce", d.metrics, func() int64 { return int64(b.LimitsInForce()) })
	p := callerpolicy.NewRetryPolicy(retryOptions(d)...)
	metrics.NewRegisteredFunctionalGauge("FurtherAttemptsStopped", d.metrics, p.StoppedAttempts)
	return b, b, p
}

// retryOptions returns the options for the fleet's retry budget, or none if the
// settings have no such budget.
func retryOptions(d *Daemon) []callerpolicy.RetryOption {
	if d.config.RetryRatio == 0 && d.config.RetryExtra == 0 {
		return nil
	}
	f := func() (f, w callerpolicy.BudgetParameters) {
		n := d.config.fleetSize()
		if s := d.configuration.store.Snapshot(); s != nil {
			n = len(s.List.Instances)
		}
		return callerpolicy.SplitFleetBudget(d.config.RetryRatio, d.config.RetryExtra, n)
	}
	return []callerpolicy.RetryOption{
		callerpolicy.WithFreeRerouting(),
		callerpolicy.WithBudget(func() callerpolicy.BudgetParameters { r, _ := f(); return r }),
		callerpolicy.WithFailureRetries(func() callerpolicy.BudgetParameters { _, w := f(); return w }),
	}
}
