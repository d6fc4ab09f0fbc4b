package assembly

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// defaultDecisions is the number of recent decisions that a daemon keeps for each
// kind of event.
const defaultDecisions = 512

// operatorRecords holds the data that the daemon keeps for operators.
type operatorRecords struct {
	journal   *operator.Journal
	burn      *operator.BurnCounter
	keys      *peertls.Keys
	startedAt time.Time
}

// newOperatorRecords returns empty records. It sets the daemon's recorder and
// observer, which write to them.
func newOperatorRecords(d *Daemon, k *peertls.Keys) *operatorRecords {
	n := d.config.Decisions
	if n < 1 {
		n = defaultDecisions
	}
	r := &operatorRecords{
		journal: operator.NewJournal(n), burn: operator.NewBurnCounter(), keys: k, startedAt: d.clock.Now(),
	}
	d.recorder = operator.NewDecisionLog(r.journal, d.log)
	d.observer = operator.Observers{r.burn, r.journal, operator.NewRequestMetrics(d.metrics), operator.NewRequestLog(d.log)}
	r.register(d)
	return r
}

// register registers the gauges whose values are computed when they are read.
func (r *operatorRecords) register(d *Daemon) {
	operator.RegisterProcessMetrics(d.metrics)
	m := d.metrics
	metrics.NewRegisteredFunctionalGauge("KeysNotAfterSeconds", m, func() int64 { return r.keys.NotAfter().Unix() })
	metrics.NewRegisteredFunctionalGauge("DecisionsRecorded", m, func() int64 { return int64(r.journal.Recorded()) })
	metrics.NewRegisteredFunctionalGauge("BurnObservationsDropped", m, func() int64 { return int64(r.burn.Dropped()) })
	metrics.NewRegisteredFunctionalGauge("StartedAtSeconds", m, r.startedAt.Unix)
	metrics.NewRegisteredFunctionalGaugeFloat64("BackendNamedLimit", m, func() float64 { return float64(d.owner.owner.Notice().Limit) })
	metrics.NewRegisteredFunctionalGauge("BackendLeaving", m, func() int64 { return flag(d.owner.owner.Notice().Leaving) })
	metrics.NewRegisteredFunctionalGauge("BackendRequestsSent", m, func() int64 { return d.owner.owner.RequestsSent() })
	r.registerStatus(d)
}

// registerStatus registers the gauges whose values are fields of the daemon's
// status.
func (r *operatorRecords) registerStatus(d *Daemon) {
	a := map[string]func(s operatorhttp.Status) int64{
		"CatalogueVersion":    func(s operatorhttp.Status) int64 { return int64(s.Versions.Catalogue) },
		"InstanceListVersion": func(s operatorhttp.Status) int64 { return int64(s.Versions.InstanceList) },
		"BackendInFlight":     func(s operatorhttp.Status) int64 { return int64(s.Load.InFlight) },
		"BackendQueued":       func(s operatorhttp.Status) int64 { return int64(s.Load.Queued) },
		"BackendLimit":        func(s operatorhttp.Status) int64 { return int64(s.Load.Limit) },
		"Ready":               func(s operatorhttp.Status) int64 { return flag(s.Ready) },
		"Leaving":             func(s operatorhttp.Status) int64 { return flag(s.Leaving) },
	}
	for n, f := range a {
		metrics.NewRegisteredFunctionalGauge(n, d.metrics, func() int64 { return f(d.Status()) })
	}
}

// flag returns 1 for true and 0 for false.
func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// addToStatus sets the fields of s that come from the records.
func (r *operatorRecords) addToStatus(s *operatorhttp.Status) {
	s.StartedAt, s.KeysNotAfter, s.PeersRefused = r.startedAt, r.keys.NotAfter(), r.keys.RefusedHandshakes()
}

// operatorPart serves operators and reloads the keys.
type operatorPart struct {
	server            *operatorhttp.Server
	metrics           *operatorhttp.Server // nil without a separate address for metrics
	address           lavenderridge.Address
	reloader          *peertls.Reloader
	keyReloadInterval time.Duration // between reloads of the keys; zero means never
}

func newOperatorPart(d *Daemon) (*operatorPart, error) {
	l, e := net.Listen("tcp", string(d.config.Operator))
	if e != nil {
		return nil, fmt.Errorf("assembly: operator address: %w", e)
	}
	d.closeLater(l.Close)
	r := d.records
	p := &operatorPart{address: lavenderridge.Address(l.Addr().String()), keyReloadInterval: d.config.KeyReloadInterval}
	if p.metrics, e = newMetricsServer(d); e != nil {
		return nil, e
	}
	p.server = operatorhttp.NewServer(l, d.Status,
		operatorhttp.WithMetrics(d.metrics),
		operatorhttp.WithClients(d.doors.operators),
		operatorhttp.WithMaxFields(d.config.HeaderFields),
		operatorhttp.WithDecisions(func(q operatorhttp.DecisionQuery) []lavenderridge.Decision {
			return r.journal.Decisions(q.Limit, q.Match)
		}),
		operatorhttp.WithBurn(func() operatorhttp.BurnCounts {
			t := d.clock.Now()
			return operatorhttp.BurnCounts{
				Instance: d.config.Instance, DataCentre: d.config.DataCentre, Time: t,
				Rows: r.burn.Rows(d.configuration.store.Snapshot(), t),
			}
		}),
	)
	i := peertls.Identity{Instance: d.config.Instance, DataCentre: d.config.DataCentre}
	p.reloader = peertls.NewReloader(d.config.KeyFiles, i, r.keys, d.log)
	return p, nil
}

// newMetricsServer returns the server for the separate metrics address, or nil if
// none is configured.
func newMetricsServer(d *Daemon) (*operatorhttp.Server, error) {
	if d.config.Metrics == "" {
		return nil, nil
	}
	l, e := net.Listen("tcp", string(d.config.Metrics))
	if e != nil {
		return nil, fmt.Errorf("assembly: metrics address: %w", e)
	}
	d.closeLater(l.Close)
	return operatorhttp.NewServer(l, d.Status, operatorhttp.WithMetrics(d.metrics),
		operatorhttp.WithClients(d.doors.metrics), operatorhttp.WithMaxFields(d.config.HeaderFields)), nil
}

func (p *operatorPart) run(c context.Context) error {
	g, c := errgroup.WithContext(c)
	g.Go(func() error { return p.server.Run(c) })
	if p.metrics != nil {
		g.Go(func() error { return p.metrics.Run(c) })
	}
	if p.keyReloadInterval > 0 {
		g.Go(func() error { return p.reloader.Run(c, p.keyReloadInterval) })
	}
	return g.Wait()
}

// OperatorAddress returns the address at which the daemon serves operators.
func (d *Daemon) OperatorAddress() lavenderridge.Address {
	return d.operator.address
}
