package assembly

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/configservice"
	"github.com/lavenderridge/lavenderridge/internal/daemon/peer"
	configpolicy "github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	peerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/peer"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

// runner runs until its context ends.
type runner interface {
	Run(c context.Context) error
}

// configPart keeps the accepted snapshot up to date.
type configPart struct {
	store         *configpolicy.Store
	gate          *configpolicy.ReadinessGate
	contact       *configpolicy.SourceContact
	neighbourhood *peerpolicy.Neighbourhood
	reader        runner // reads the source
	// follower is the reader of a platform's facts, or nil.
	follower *configservice.Follower
	gossiper *peer.Gossiper
	// proofs and freshness are nil if requests with a key need no fresh catalogue.
	proofs     *configservice.ProofTracker
	freshness  *configpolicy.FreshnessLimit
	exchanger  peer.Exchanger
	clock      lavenderridge.Clock
	sourceOnly bool
}

var _ lavenderridge.Readiness = (*configPart)(nil)

func newConfigPart(c context.Context, d *Daemon) (*configPart, error) {
	t := d.clock.Now()
	p := &configPart{
		store:         configpolicy.NewStore(canonicalcbor.NewCodec()),
		gate:          configpolicy.NewReadinessGate(t),
		contact:       configpolicy.NewSourceContact(t),
		neighbourhood: peerpolicy.NewNeighbourhood(d.config.Instance, d.config.DataCentre),
		clock:         d.clock,
		sourceOnly:    d.sourceOnly,
	}
	if e := p.useProofs(d); e != nil {
		return nil, e
	}
	a := configservice.NewAcceptor(p.store, confighttp.Parser{}, d.clock, d.recorder, d.log)
	p.gossiper = newGossiper(d, p, a)
	p.exchanger = p.gossiper
	var e error
	p.reader, e = newSourceReader(c, d, p, a)
	return p, e
}

// useProofs makes the daemon keep proofs of its catalogue if revocations must hold within
// a time.
func (p *configPart) useProofs(d *Daemon) error {
	n := configpolicy.NewRevocationPlan(d.config.RevokeWithin)
	if !n.Enabled() {
		return nil
	}
	k := d.steadyClock
	if k == nil {
		v, e := NewSystemSteadyClock()
		if e != nil {
			return e
		}
		k = v
	}
	p.proofs = configservice.NewProofTracker(n, p.store, k)
	p.freshness = configpolicy.NewFreshnessLimit(n, p.proofs)
	metrics.NewRegisteredFunctionalGauge("CatalogueAgeMilliseconds", d.metrics, func() int64 { return p.proofs.Age().Milliseconds() })
	return nil
}

// newSourceReader returns the reader of the source: a Reader of documents, or a
// Follower of a platform's facts.
func newSourceReader(c context.Context, d *Daemon, p *configPart, a *configservice.Acceptor) (runner, error) {
	if d.adapter != nil {
		s, e := d.adapter.Facts(c, lavenderridge.FactSettings{Source: d.config.ConfigService, Peer: d.config.Peer, Regions: d.config.Regions})
		if e != nil {
			return nil, e
		}
		d.closeLater(s.Close)
		p.follower = configservice.NewFollower(s, p.store, a, p.gate, p.contact, d.clock, d.log, d.config.Instance, d.config.DataCentre, p.contact.HeardFollowing, d.metrics,
			configservice.WithFollowerApply(d.applyPlan()), configservice.WithFollowerProofs(p.proofs))
		return p.follower, nil
	}
	s, e := confighttp.NewClient(c, d.config.ConfigService)
	if e != nil {
		return nil, e
	}
	d.closeLater(s.Close)
	return configservice.NewReader(s, p.store, a, p.gate, p.contact, d.clock, d.config.Instance, d.config.DataCentre, readerOptions(d, p)...), nil
}

// applyPlan returns the plan with which changes of the source come into force in time.
func (d *Daemon) applyPlan() configpolicy.ApplyPlan {
	return configpolicy.NewApplyPlan(d.config.ApplyWithin)
}

// newGossiper returns the gossiper, which exchanges versions and documents with
// other daemons.
func newGossiper(d *Daemon, p *configPart, a *configservice.Acceptor) *peer.Gossiper {
	return peer.NewGossiper(d.sender, p.store, a, p.gate, p.contact, p.neighbourhood, d.transport, d.clock,
		peer.WithLogger(d.log),
		peer.WithAddress(d.transport.Address()),
		peer.WithRecorder(d.recorder),
		peer.WithCounters(d.metrics),
		peer.WithLeaving(func() bool { return d.owner.leaving() }),
		peer.WithSuspects(deferredSuspects{daemon: d}),
		peer.WithProofs(p.proofs),
		peer.WithApply(d.applyPlan()),
	)
}

func readerOptions(d *Daemon, p *configPart) []func(*configservice.Reader) {
	o := []func(*configservice.Reader){
		configservice.WithLogger(d.log),
		configservice.WithHeardFollowing(p.contact.HeardFollowing),
		configservice.WithReaderApply(d.applyPlan()),
		configservice.WithFleetSize(d.config.fleetSize()),
		configservice.WithReaderProofs(p.proofs),
	}
	if d.sourceOnly {
		o = append(o, configservice.WithEveryDaemonReading())
	}
	return o
}

// Ready implements lavenderridge.Readiness.
func (p *configPart) Ready(t time.Time) error {
	s := p.store.Snapshot()
	if s == nil {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotReady, "no configuration accepted yet")
	}
	if p.sourceOnly {
		return nil
	}
	return p.gate.Ready(s.Versions(), t)
}

func (p *configPart) run(c context.Context) error {
	if p.sourceOnly {
		return p.reader.Run(c)
	}
	g, c := errgroup.WithContext(c)
	g.Go(func() error { return p.reader.Run(c) })
	g.Go(func() error { return p.gossiper.Run(c) })
	return g.Wait()
}

// addToStatus sets the fields of s that concern the configuration.
func (p *configPart) addToStatus(s *operatorhttp.Status) {
	t := p.clock.Now()
	a := p.store.Acceptance(lavenderridge.DocumentCatalogue)
	s.CatalogueOrigin, s.CatalogueAcceptedAt = a.Origin, a.Time
	a = p.store.Acceptance(lavenderridge.DocumentInstanceList)
	s.InstanceListOrigin, s.InstanceListAcceptedAt = a.Origin, a.Time
	s.Rejections = p.store.Rejections()
	s.SourceAge = p.contact.Age(t)
	s.OwnSourceAge = p.contact.OwnAge(t)
	if p.follower != nil {
		s.SourceEra = p.contact.Era()
		s.InstanceListEra = configpolicy.ListEra(a.Stamp.Version)
	}
	s.CatalogueAge, s.MaxCatalogueAge = p.proofs.Age(), p.proofs.Plan().MaxAge()
	s.StartedAlone = p.gossiper.StartedAlone()
	s.Neighbours = p.neighbourhood.Neighbours(t)
}
