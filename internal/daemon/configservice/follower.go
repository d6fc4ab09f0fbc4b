package configservice

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// maxPages bounds the pages of one listing.
const maxPages = 64

// A Follower keeps up with a FactSource: it lists the facts once, and watches
// them as long as the daemon is one of its data centre's readers or hears
// nothing from others.
type Follower struct {
	source   lavenderridge.FactSource
	mirror   *configservice.Mirror
	plan     configservice.FollowPlan
	store    *configservice.Store
	acceptor *Acceptor
	gate     *configservice.Gate
	contact  *configservice.SourceContact
	clock    lavenderridge.Clock
	log      *zap.Logger

	instance   lavenderridge.InstanceID
	dataCentre lavenderridge.DataCentreID
	peerHeard  func() time.Time
	fleetSize  int
	// started is when the daemon began to follow.
	started time.Time
	lost    bool
}

// NewFollower returns a follower of the source s for the daemon of the
// instance n in the data centre d. The function h tells when a neighbour was
// last heard of, and z is the number of daemons that may start at once.
func NewFollower(s lavenderridge.FactSource, t *configservice.Store, a *Acceptor, g *configservice.Gate, p *configservice.SourceContact, k lavenderridge.Clock, l *zap.Logger, n lavenderridge.InstanceID, d lavenderridge.DataCentreID, h func() time.Time, z int) *Follower {
	return &Follower{
		source: s, mirror: configservice.NewMirror(), store: t, acceptor: a, gate: g, contact: p, clock: k, log: l,
		instance: n, dataCentre: d, peerHeard: h, fleetSize: z,
	}
}

// Run follows until c ends.
func (f *Follower) Run(c context.Context) error {
	f.started = f.clock.Now()
	n := 0
	for c.Err() == nil {
		s := f.state(n)
		p := f.plan.Next(s, rand.Float64())
		if lavenderridge.Sleep(c, p.Delay) != nil {
			break
		}
		if p.Skip {
			f.dropLapsed()
			continue
		}
		if e := f.follow(c, f.waitOf(p.Wait)); e != nil {
			n++
			f.failed(c, e)
			continue
		}
		n = 0
		f.answered()
	}
	return nil
}

// waitOf returns the wait w of a watch, shortened so that lapsed instances are
// dropped when their time is over.
func (f *Follower) waitOf(w time.Duration) time.Duration {
	if t, o := f.mirror.Due(); o {
		return max(0, min(w, t.Sub(f.clock.Now())))
	}
	return w
}

func (f *Follower) state(n int) configservice.ReadState {
	t := f.clock.Now()
	h := f.peerHeard()
	if h.Before(f.started) {
		h = f.started
	}
	s := configservice.ReadState{Listed: f.mirror.AsOf() > 0, Failures: n, PeerAge: t.Sub(h), SourceAge: f.contact.Age(t), Fleet: f.fleetSize}
	v := f.store.Stamps()
	s.Holds = v.Catalogue.Version > 0 && v.InstanceList.Version > 0
	if l := f.store.List(); l != nil {
		s.Fleet = len(l.Instances)
		s.Reads = slices.Contains(configservice.Readers(l, f.dataCentre), f.instance)
	}
	return s
}

// follow makes one step: a whole listing, or one watch.
func (f *Follower) follow(c context.Context, w time.Duration) error {
	b := f.gate.Epoch()
	if f.mirror.AsOf() == 0 {
		if e := f.list(c); e != nil {
			return e
		}
	} else {
		p, e := f.source.Watch(c, f.mirror.AsOf(), w)
		if errors.Is(e, lavenderridge.ErrHistoryLost) {
			f.log.Warn("SourceHistoryLost", zap.Uint64("Revision", uint64(f.mirror.AsOf())))
			e = f.list(c)
		} else if e == nil {
			f.reject(p)
			f.mirror.Changed(p, f.clock.Now())
		}
		if e != nil {
			return e
		}
	}
	f.publish()
	t := f.clock.Now()
	f.contact.Answered(t)
	if s := f.store.Snapshot(); s != nil {
		f.gate.Open(b, s.Versions(), t)
	}
	return nil
}

// list reads all pages. Those of a long listing may be of different revisions;
// the changes since the first page make them consistent.
func (f *Follower) list(c context.Context) error {
	var a []lavenderridge.Fact
	var r lavenderridge.Revision
	var k lavenderridge.FactKey
	for i := range maxPages {
		p, e := f.source.List(c, k)
		if e != nil {
			return e
		}
		f.reject(p)
		a = append(a, p.Facts...)
		if i == 0 {
			r = p.AsOf
		}
		if !p.More || len(p.Facts) == 0 {
			f.mirror.Listed(a, r, f.clock.Now())
			return f.settle(c, i > 0)
		}
		k = p.Facts[len(p.Facts)-1].Key
	}
	return errors.New("configservice: the listing does not end")
}

// settle takes in what changed while several pages were read.
func (f *Follower) settle(c context.Context, o bool) error {
	if !o {
		return nil
	}
	p, e := f.source.Watch(c, f.mirror.AsOf(), 0)
	if e != nil {
		return e
	}
	f.reject(p)
	f.mirror.Changed(p, f.clock.Now())
	return nil
}

// reject reports the facts that can't be read.
func (f *Follower) reject(p *lavenderridge.FactPage) {
	for _, v := range p.Facts {
		if len(v.Findings) > 0 {
			f.log.Warn("FactRejected", zap.String("Key", string(v.Key)), zap.Uint64("Revision", uint64(v.Revision)), zap.Error(v.Findings))
		}
	}
}

// publish offers both documents to the store.
func (f *Follower) publish() {
	t := f.clock.Now()
	l, v := f.mirror.InstanceList(t)
	f.acceptor.Listed(l, v)
	if p := f.mirror.Catalogue(); p != nil {
		f.acceptor.Read(p)
	}
}

// dropLapsed publishes the instance list without the lapsed instances when
// their time is over.
func (f *Follower) dropLapsed() {
	if t, o := f.mirror.Due(); o && !f.clock.Now().Before(t) {
		f.publish()
	}
}

func (f *Follower) failed(c context.Context, e error) {
	if c.Err() != nil {
		return
	}
	f.mirror.SourceFailed()
	if !f.lost {
		f.lost = true
		f.log.Warn("SourceLost", zap.Uint64("Revision", uint64(f.mirror.AsOf())), zap.Error(e))
	}
}

func (f *Follower) answered() {
	if f.lost {
		f.lost = false
		f.log.Info("SourceRegained", zap.Uint64("Revision", uint64(f.mirror.AsOf())))
	}
}
