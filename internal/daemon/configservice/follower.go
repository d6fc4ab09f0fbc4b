package configservice

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

const (
	// maxPages is the limit on the number of pages of one listing.
	maxPages = 64
	// holdCheckInterval is how often a daemon that waits looks whether the store holds
	// something.
	holdCheckInterval = 250 * time.Millisecond
	// maxRejectionLines bounds the log lines about unusable facts of one call.
	maxRejectionLines = 8
)

var (
	errNewEra   = errors.New("configservice: the source has come back from an older copy")
	errOutdated = errors.New("configservice: the response is from before the source's return from an older copy")
)

// A Follower copies the facts of a FactSource and offers the documents that it
// builds from them. It lists the facts once. Afterwards it watches them while the
// daemon is one of the readers of its data centre, or has heard for too long of no other
// daemon that follows the source, and reads them occasionally when it lacks a document.
type Follower struct {
	source    lavenderridge.FactSource
	mirror    *configservice.Mirror
	scheduler configservice.FollowScheduler
	store     *configservice.Store
	acceptor  *Acceptor
	gate      *configservice.ReadinessGate
	contact   *configservice.SourceContact
	clock     lavenderridge.Clock
	log       *zap.Logger
	rejected  metrics.Counter
	returns   metrics.Counter
	outdated  metrics.Counter

	instance   lavenderridge.InstanceID
	dataCentre lavenderridge.DataCentreID
	// heardFollowing returns when another daemon last followed the source.
	heardFollowing func() time.Time
	apply          configservice.ApplyPlan
	// started is the time at which Run was called. It stands for that time until there is
	// a later one.
	started    time.Time
	sourceLost bool
	// steppedIn is true while the daemon follows the source in place of the readers.
	steppedIn bool
	// unsureUntil is until when the source's word opens no gate and proves nothing, because it has just come
	// back from an older copy and may lack versions that are in force.
	unsureUntil time.Time
	// offered is the catalogue of the source that was offered last since its return.
	offered *lavenderridge.PublishedCatalogue
	// listed is true if the latest call was a listing.
	listed bool
	// behind is true while the source has an older catalogue than the accepted one.
	behind bool
	// asked is true if a neighbour has other content of the accepted catalogue's version,
	// so that the source must decide.
	asked atomic.Bool
	// proofs is nil unless WithFollowerProofs is used.
	proofs *ProofTracker
}

// WithFollowerProofs makes a follower record in t which versions the source's responses
// prove to be the latest ones, and read as often as t's plan requires.
func WithFollowerProofs(t *ProofTracker) func(*Follower) {
	return func(f *Follower) { f.proofs = t }
}

// WithFollowerApply makes a follower read the source as the plan p requires. The default is
// the plan for DefaultApplyWithin.
func WithFollowerApply(p configservice.ApplyPlan) func(*Follower) {
	return func(f *Follower) { f.apply = p }
}

// NewFollower returns a follower of the source s for the daemon of the instance n
// in the data centre d. The function h returns the latest time at which another daemon is
// known to have followed the source. Facts that cannot be used are counted in the registry r.
func NewFollower(s lavenderridge.FactSource, t *configservice.Store, a *Acceptor, g *configservice.ReadinessGate, p *configservice.SourceContact, k lavenderridge.Clock, l *zap.Logger, n lavenderridge.InstanceID, d lavenderridge.DataCentreID, h func() time.Time, r metrics.Registry, o ...func(*Follower)) *Follower {
	f := &Follower{
		source: s, mirror: configservice.NewMirror(), store: t, acceptor: a, gate: g, contact: p, clock: k, log: l,
		instance: n, dataCentre: d, heardFollowing: h, apply: configservice.NewApplyPlan(0),
		rejected: metrics.NewRegisteredCounter("SourceFactsRejected", r),
		returns:  metrics.NewRegisteredCounter("SourceReturns", r),
		outdated: metrics.NewRegisteredCounter("SourceResponsesOutdated", r),
	}
	for _, v := range o {
		v(f)
	}
	t.OrderByEra()
	a.OnCatalogueConflict(func() { f.asked.Store(true) })
	return f
}

// Run reads the source as the scheduler decides, until c ends.
func (f *Follower) Run(c context.Context) error {
	f.started = f.clock.Now()
	n := 0
	for c.Err() == nil {
		f.store.Release(f.clock.Now())
		s := f.state(n)
		p := f.scheduler.Next(s, rand.Float64())
		f.logStep(!s.IsReader && !p.Skip && s.HasInstanceList && s.HasVersion, s.FollowAge)
		if f.sleep(c, p.Delay) != nil {
			break
		}
		if p.Skip {
			f.dropLapsed()
			continue
		}
		if e := f.readSource(c, f.watchWait(p.Wait)); e != nil {
			n++
			f.onFailure(c, e)
			continue
		}
		n = 0
		f.onSuccess()
	}
	return nil
}

// sleep waits for d. It ends what the store holds when that is due, also if the store
// begins to hold it only meanwhile.
func (f *Follower) sleep(c context.Context, d time.Duration) error {
	for u := f.clock.Now().Add(d); ; f.store.Release(f.clock.Now()) {
		w := u.Sub(f.clock.Now())
		if w <= 0 {
			return c.Err()
		}
		if t, o := f.store.HeldUntil(); o {
			w = min(w, t.Sub(f.clock.Now()))
		}
		if e := lavenderridge.Sleep(c, min(w, holdCheckInterval)); e != nil {
			return e
		}
	}
}

// watchWait returns the wait w of a watch, shortened so that the watch ends when
// the lapsed instances are to be dropped, or those that the store holds.
func (f *Follower) watchWait(w time.Duration) time.Duration {
	if t, o := f.mirror.LapsedUntil(); o {
		w = max(0, min(w, t.Sub(f.clock.Now())))
	}
	if t, o := f.store.HeldUntil(); o {
		w = max(0, min(w, t.Sub(f.clock.Now())))
	}
	return w
}

// state returns the state on which the next decision is based, after n failures
// in a row.
func (f *Follower) state(n int) configservice.ReadState {
	t := f.clock.Now()
	h := f.heardFollowing()
	if h.Before(f.started) {
		h = f.started
	}
	s := configservice.ReadState{HasInstanceList: f.mirror.AsOf() > 0, Failures: n, Rank: -1, FollowAge: t.Sub(h), Apply: f.apply, Revocation: f.proofs.Plan(), CatalogueAge: f.proofs.Age()}
	v := f.store.Stamps()
	s.HasVersion = v.Catalogue.Version > 0 && v.InstanceList.Version > 0 && !f.isAsked(v)
	if l := f.store.InstanceList(); l != nil {
		s.FleetSize = len(l.Instances)
		s.Rank = configservice.ReaderRank(l, f.store.Catalogue(), f.dataCentre, f.instance)
		s.IsReader = configservice.IsReader(s.Rank)
	}
	return s
}

// isAsked reports whether the source must decide about the catalogue among the accepted
// versions v. It does so only after it has come back from an older copy: before that, it
// has one content for each version.
func (f *Follower) isAsked(v lavenderridge.Stamps) bool {
	return f.asked.Load() && configservice.ListEra(v.InstanceList.Version) > 0
}

// logStep logs that the daemon follows the source in place of the readers, if o is true, or
// no longer does. The latest word of another daemon that follows it has the age a.
func (f *Follower) logStep(o bool, a time.Duration) {
	if o == f.steppedIn {
		return
	}
	f.steppedIn = o
	n := "SteppedBack"
	if o {
		n = "SteppedIn"
	}
	f.log.Info(n, zap.Int64("FollowAgeMilliseconds", a.Milliseconds()))
}

// readSource makes one complete listing or one watch that waits for w, and offers
// the documents that result.
func (f *Follower) readSource(c context.Context, w time.Duration) error {
	b, v := f.gate.Epoch(), f.store.Stamps().InstanceList.Version
	q := f.asked.Swap(false)
	u := f.proofs.BeginCall()
	f.contact.CallBegun(f.clock.Now(), w)
	e := f.readChanges(c, w)
	f.contact.CallEnded(f.clock.Now(), e)
	if e != nil {
		if q {
			f.asked.Store(true)
		}
		return e
	}
	f.mirror.CompareList(v, f.listed)
	f.publish()
	t := f.clock.Now()
	if p := f.mirror.Catalogue(); p != nil && !t.Before(f.unsureUntil) {
		f.proofs.SourceResponded(p.Version, u)
	}
	f.contact.SourceResponded(t)
	f.contact.EraResponded(f.mirror.Era())
	if s := f.store.Snapshot(); s != nil && !t.Before(f.unsureUntil) {
		f.gate.Open(b, s.Versions(), t)
	}
	return nil
}

// readChanges brings the mirror up to date by a watch that waits for w. It lists the
// facts before the first watch, and when the changes since the mirror's revision are
// lost or too large.
func (f *Follower) readChanges(c context.Context, w time.Duration) error {
	f.listed = false
	if f.mirror.AsOf() == 0 {
		return f.list(c)
	}
	e := f.watch(c, w)
	switch {
	case errors.Is(e, errNewEra):
	case errors.Is(e, lavenderridge.ErrHistoryLost):
		f.log.Warn("SourceHistoryLost", zap.Uint64("Revision", uint64(f.mirror.AsOf())))
	case errors.Is(e, lavenderridge.ErrTooManyChanges):
		f.log.Warn("SourceHistoryTooLarge", zap.Uint64("Revision", uint64(f.mirror.AsOf())))
	default:
		return e
	}
	return f.list(c)
}

// list reads a listing into the mirror. It begins again if the source comes back from an
// older copy between two pages.
func (f *Follower) list(c context.Context) error {
	f.listed = true
	e := f.listEra(c)
	if errors.Is(e, errNewEra) {
		e = f.listEra(c)
	}
	return e
}

// checkEra returns errNewEra if the page p is of a later era than e, and errOutdated if
// it is of an earlier one than e or the accepted list.
func (f *Follower) checkEra(p *lavenderridge.FactPage, e lavenderridge.Era) error {
	switch {
	case p.Era < e || f.mirror.IsOlder(p.Era, f.store.Stamps().InstanceList.Version):
		f.outdated.Inc(1)
		return fmt.Errorf("%w: era %d", errOutdated, p.Era)
	case p.Era > e:
		return errNewEra
	}
	return nil
}

// beginEra prepares the mirror for a listing of the era e.
func (f *Follower) beginEra(e lavenderridge.Era) {
	o, r := f.mirror.Era(), f.mirror.AsOf()
	if !f.mirror.BeginEra(e) {
		return
	}
	f.returns.Inc(1)
	f.unsureUntil = f.clock.Now().Add(configservice.ReturnGrace)
	f.log.Warn("SourceReturned", zap.Uint64("Era", uint64(e)), zap.Uint64("FormerEra", uint64(o)), zap.Uint64("FormerRevision", uint64(r)))
}

// listEra reads all pages of a listing, of one era, into the mirror. The pages may have different
// revisions. Unless those of the instance list have the same one, applying the changes
// since the first page makes them consistent.
func (f *Follower) listEra(c context.Context) error {
	var a []lavenderridge.Fact
	var r, l lavenderridge.Revision // of the first page, and of the first with the list
	var k lavenderridge.FactKey
	var n lavenderridge.Era
	for i := range maxPages {
		t := f.clock.Now()
		p, e := f.source.List(c, k)
		if e != nil {
			return e
		}
		if i == 0 {
			n = max(p.Era, f.mirror.Era())
		}
		if e := f.checkEra(p, n); e != nil {
			return e
		}
		f.logCatalogue("list", p, t)
		a = append(a, p.Facts...)
		if i == 0 {
			r = p.AsOf
		}
		if d := len(p.Facts); l == 0 && (d == 0 || p.Facts[d-1].Catalogue == nil) {
			l = p.AsOf
		}
		if !p.More || len(p.Facts) == 0 {
			f.beginEra(n)
			if l == p.AsOf {
				f.reject(f.mirror.ApplyListing(a, r, l, f.clock.Now()))
				return nil
			}
			f.reject(f.mirror.ApplyListing(a, r, r, f.clock.Now()))
			return f.watch(c, 0)
		}
		k = p.Facts[len(p.Facts)-1].Key
	}
	return errors.New("configservice: listing exceeds the page limit")
}

// watch applies the changes since the mirror's revision, for which it waits up to w.
func (f *Follower) watch(c context.Context, w time.Duration) error {
	t := f.clock.Now()
	p, e := f.source.Watch(c, f.mirror.AsOf(), w)
	if e != nil {
		return e
	}
	if e := f.checkEra(p, f.mirror.Era()); e != nil {
		return e
	}
	f.logCatalogue("watch", p, t)
	f.reject(f.mirror.ApplyChanges(p, f.clock.Now()))
	return nil
}

// reject counts and logs the facts a, which cannot be used.
func (f *Follower) reject(a []lavenderridge.Fact) {
	f.rejected.Inc(int64(len(a)))
	for i, v := range a {
		if i == maxRejectionLines {
			f.log.Warn("FactsRejected", zap.Int("More", len(a)-i))
			return
		}
		f.log.Warn("FactRejected", zap.String("Key", string(v.Key)), zap.Uint64("Revision", uint64(v.Revision)), zap.Error(v.Findings))
	}
}

// logCatalogue logs the call n, made at the time t, if the page p that it returned
// includes a catalogue.
func (f *Follower) logCatalogue(n string, p *lavenderridge.FactPage, t time.Time) {
	for _, v := range p.Facts {
		if v.Catalogue != nil {
			f.log.Info("CatalogueRead", zap.String("Call", n), zap.Uint64("Version", uint64(v.Catalogue.Version)), zap.Int("Superseded", p.Superseded),
				zap.Uint64("Revision", uint64(p.AsOf)), zap.Int64("Bytes", int64(p.Size)), zap.Int64("LatencyMicroseconds", f.clock.Now().Sub(t).Microseconds()))
		}
	}
}

// publish offers the documents of the mirror to the store.
func (f *Follower) publish() {
	t := f.clock.Now()
	l, v := f.mirror.InstanceList(t)
	f.acceptor.OfferInstanceList(l, v)
	p := f.mirror.Catalogue()
	if p == nil {
		return
	}
	f.acceptor.OfferCatalogue(p)
	if f.mirror.HasReturned() && p != f.offered {
		f.acceptor.DecideCatalogue(p)
		f.offered = p
	}
	f.checkBehind(p)
}

// checkBehind logs that the source has come back without the catalogue in force, which
// stays in force.
func (f *Follower) checkBehind(p *lavenderridge.PublishedCatalogue) {
	v := f.store.Acceptance(lavenderridge.DocumentCatalogue).Stamp.Version
	b := f.mirror.HasReturned() && f.mirror.IsBehind(v)
	if b && !f.behind {
		f.log.Warn("SourceBehind", zap.Uint64("Version", uint64(v)), zap.Uint64("SourceVersion", uint64(p.Version)), zap.Uint64("Era", uint64(f.mirror.Era())))
	}
	f.behind = b
}

// dropLapsed offers the instance list without the lapsed instances once the time
// for which they are kept is over.
func (f *Follower) dropLapsed() {
	if t, o := f.mirror.LapsedUntil(); o && !f.clock.Now().Before(t) {
		f.publish()
	}
}

// onFailure marks the source as failed. It logs only the first of several
// failures in a row.
func (f *Follower) onFailure(c context.Context, e error) {
	if c.Err() != nil {
		return
	}
	f.mirror.SourceFailed()
	if !f.sourceLost {
		f.sourceLost = true
		f.log.Warn("SourceLost", zap.Uint64("Revision", uint64(f.mirror.AsOf())), zap.Error(e))
	}
}

// onSuccess logs the first successful call after a failure.
func (f *Follower) onSuccess() {
	if f.sourceLost {
		f.sourceLost = false
		f.log.Info("SourceRegained", zap.Uint64("Revision", uint64(f.mirror.AsOf())))
	}
}
