package configservice

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// skipInterval is the time after which a daemon that skipped reading the source
// decides again.
const skipInterval = 500 * time.Millisecond

// A Reader reads both documents from the configuration service as the read plans
// of the policy decide, and passes each version to the acceptor.
type Reader struct {
	source   lavenderridge.ConfigService
	store    *configservice.Store
	acceptor *Acceptor
	gate     *configservice.ReadinessGate
	contact  *configservice.SourceContact
	clock    lavenderridge.Clock
	log      *zap.Logger

	instance   lavenderridge.InstanceID
	dataCentre lavenderridge.DataCentreID
	// heardFollowing returns when another daemon last followed the source.
	heardFollowing func() time.Time
	apply          configservice.ApplyPlan
	fleetSize      int
	// alwaysRead makes the daemon watch even if it is not a reader of its data
	// centre.
	alwaysRead bool
	// proofs is nil unless WithReaderProofs is used.
	proofs *ProofTracker
}

// NewReader returns a reader of the source s for the daemon of the instance n
// in the data centre d, with the options o.
func NewReader(s lavenderridge.ConfigService, t *configservice.Store, a *Acceptor, g *configservice.ReadinessGate, p *configservice.SourceContact, k lavenderridge.Clock, n lavenderridge.InstanceID, d lavenderridge.DataCentreID, o ...func(*Reader)) *Reader {
	r := &Reader{
		source: s, store: t, acceptor: a, gate: g, contact: p, clock: k, log: zap.NewNop(),
		instance: n, dataCentre: d, fleetSize: 1, apply: configservice.NewApplyPlan(0),
		heardFollowing: func() time.Time { return time.Time{} },
	}
	for _, f := range o {
		f(r)
	}
	return r
}

// WithLogger makes a reader log to l.
func WithLogger(l *zap.Logger) func(*Reader) {
	return func(r *Reader) { r.log = l }
}

// WithFleetSize sets the number of daemons that are assumed to start concurrently
// while there is no instance list. The default is 1.
func WithFleetSize(n int) func(*Reader) {
	return func(r *Reader) { r.fleetSize = n }
}

// WithHeardFollowing sets the function that returns the latest time at which another daemon
// is known to have followed the source. While that time is recent, a daemon that is not one
// of the readers of its data centre leaves reading the source to them.
func WithHeardFollowing(f func() time.Time) func(*Reader) {
	return func(r *Reader) { r.heardFollowing = f }
}

// WithReaderApply makes a reader read the source as the plan p requires. The default is the
// plan for DefaultApplyWithin.
func WithReaderApply(p configservice.ApplyPlan) func(*Reader) {
	return func(r *Reader) { r.apply = p }
}

// WithEveryDaemonReading makes the daemon watch the source even if it is not one
// of the readers of its data centre. Measurements use it as a baseline.
func WithEveryDaemonReading() func(*Reader) {
	return func(r *Reader) { r.alwaysRead = true }
}

// WithReaderProofs makes a reader record in t which versions the source's responses prove
// to be the latest ones, and read as often as t's plan requires.
func WithReaderProofs(t *ProofTracker) func(*Reader) {
	return func(r *Reader) { r.proofs = t }
}

// Run reads the instance list if there is none, and then watches both documents
// concurrently until c ends.
func (r *Reader) Run(c context.Context) error {
	b := r.clock.Now()
	r.readFirstList(c)
	g, c := errgroup.WithContext(c)
	for _, d := range []lavenderridge.DocumentName{lavenderridge.DocumentCatalogue, lavenderridge.DocumentInstanceList} {
		g.Go(func() error { return r.watch(c, d, b) })
	}
	return g.Wait()
}

// readFirstList reads the instance list until a version has been accepted. The
// daemon needs it to know its neighbours.
func (r *Reader) readFirstList(c context.Context) {
	f := 0
	for c.Err() == nil && r.store.InstanceList() == nil {
		p := configservice.PlanFirstRead(configservice.ReadState{Failures: f}, r.fleetSize, rand.Float64())
		if !r.pause(c, p.Delay) {
			continue
		}
		f++
		if v, e := r.read(c, lavenderridge.DocumentInstanceList, 0, p.Wait); e == nil && v == 0 {
			r.log.Warn("SourceEmpty")
		}
	}
}

// watch reads the document d as PlanRead decides, until c ends. The function Run
// was called at the time b.
func (r *Reader) watch(c context.Context, d lavenderridge.DocumentName, b time.Time) error {
	var v lavenderridge.Version
	f := 0
	for c.Err() == nil {
		p := configservice.PlanRead(r.state(d, b, f), rand.Float64())
		if p.Skip {
			_ = lavenderridge.Sleep(c, skipInterval)
			continue
		}
		if !r.pause(c, p.Delay) || p.Wait == 0 && configservice.PlanRead(r.state(d, b, f), 0).Skip {
			continue
		}
		n, e := r.read(c, d, max(v, r.store.Acceptance(d).Stamp.Version), p.Wait)
		v = max(v, n)
		f++
		if e == nil {
			f = 0
		}
	}
	return nil
}

// state returns the state on which the next decision about the document d is
// based. The reader started at the time b and f calls in a row have failed.
func (r *Reader) state(d lavenderridge.DocumentName, b time.Time, f int) configservice.ReadState {
	t := r.clock.Now()
	h := r.heardFollowing()
	if h.Before(b) {
		h = b
	}
	s := configservice.ReadState{
		HasInstanceList: true, HasVersion: r.store.Acceptance(d).Stamp.Version > 0, IsReader: r.alwaysRead,
		Rank: -1, FollowAge: t.Sub(h), Apply: r.apply, Failures: f,
	}
	if d == lavenderridge.DocumentCatalogue {
		s.Revocation, s.CatalogueAge = r.proofs.Plan(), r.proofs.Age()
	}
	if l := r.store.InstanceList(); l != nil {
		s.FleetSize = len(l.Instances)
		s.Rank = configservice.ReaderRank(l, r.store.Catalogue(), r.dataCentre, r.instance)
		s.IsReader = s.IsReader || configservice.IsReader(s.Rank)
	}
	return s
}

// read makes one call for a version of d newer than v and returns the version
// received, or zero if there is none.
func (r *Reader) read(c context.Context, d lavenderridge.DocumentName, v lavenderridge.Version, w time.Duration) (lavenderridge.Version, error) {
	b, u := r.gate.Epoch(), r.proofs.BeginCall()
	if d == lavenderridge.DocumentCatalogue {
		r.contact.CallBegun(r.clock.Now(), w)
	}
	p, e := r.source.Read(c, d, v, w)
	if d == lavenderridge.DocumentCatalogue {
		r.contact.CallEnded(r.clock.Now(), e)
	}
	if e != nil {
		if c.Err() == nil {
			r.log.Warn("SourceReadFailed", zap.String("Document", string(d)), zap.Error(e))
		}
		return 0, e
	}
	t := r.clock.Now()
	r.contact.SourceResponded(t)
	var n lavenderridge.Version
	if p != nil {
		r.acceptor.OfferPublished(p)
		n = p.Version
	}
	if d == lavenderridge.DocumentCatalogue {
		r.proofs.SourceResponded(max(v, n), u)
	}
	if s := r.store.Snapshot(); b > 1 && s != nil {
		r.gate.Open(b, s.Versions(), t)
	}
	return n, nil
}

// pause waits for d. It reports false if c ends or a version is accepted before
// that, because the caller then has to decide again whether to read.
func (r *Reader) pause(c context.Context, d time.Duration) bool {
	if d <= 0 {
		return c.Err() == nil
	}
	f := r.store.Changed()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
		return false
	case <-f:
		return false
	case <-t.C:
		return true
	}
}
