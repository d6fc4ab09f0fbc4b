package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	daemonconfig "github.com/lavenderridge/lavenderridge/internal/daemon/configservice"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 900 * time.Millisecond
	pullTimeout      = 1500 * time.Millisecond
	pullRetry        = 100 * time.Millisecond
	maxAnnouncements = 16
)

// The names of the counters by the cause of a call.
const (
	CounterAnnounce    = "Control.Announce"
	CounterAntiEntropy = "Control.AntiEntropy"
	CounterGate        = "Control.Gate"
	CounterLeaving     = "Control.Leaving"
	CounterPullDelta   = "Control.PullDelta"
	CounterPullWhole   = "Control.PullWhole"
)

// A Spreader passes versions on between daemons: it announces a version that
// has come into force, compares versions with one neighbour in turn, and pulls
// what it lacks.
type Spreader struct {
	self          func() lavenderridge.Sender
	store         *configservice.Store
	acceptor      *daemonconfig.Acceptor
	gate          *configservice.ReadinessGate
	contact       *configservice.SourceContact
	neighbourhood *peer.Neighbourhood
	dialer        lavenderridge.PeerDialer
	clock         lavenderridge.Clock
	log           *zap.Logger
	leaving       func() bool
	address       lavenderridge.Address
	suspects      lavenderridge.SuspectStore
	recorder      lavenderridge.Recorder
	counters      metrics.Registry

	plan    *peer.PullScheduler
	limiter *peer.PullLimiter
	wake    chan struct{}
	told    atomic.Bool
	alone   atomic.Bool
}

var _ Exchanger = (*Spreader)(nil)

// NewSpreader returns a spreader of what is in the store s. It reaches other
// daemons through d; the function f gives the sender of its messages.
func NewSpreader(f func() lavenderridge.Sender, s *configservice.Store, a *daemonconfig.Acceptor, g *configservice.ReadinessGate, t *configservice.SourceContact, h *peer.Neighbourhood, d lavenderridge.PeerDialer, k lavenderridge.Clock, o ...func(*Spreader)) *Spreader {
	p := &Spreader{
		self: f, store: s, acceptor: a, gate: g, contact: t, neighbourhood: h, dialer: d, clock: k,
		log: zap.NewNop(), leaving: func() bool { return false }, counters: metrics.NewRegistry(),
		plan: peer.NewPullScheduler(), limiter: peer.NewPullLimiter(), wake: make(chan struct{}, 1),
	}
	for _, v := range o {
		v(p)
	}
	return p
}

// WithLogger makes a spreader log to l.
func WithLogger(l *zap.Logger) func(*Spreader) {
	return func(s *Spreader) { s.log = l }
}

// WithLeaving makes a spreader tell neighbours that the daemon takes no new
// work when f reports so.
func WithLeaving(f func() bool) func(*Spreader) {
	return func(s *Spreader) { s.leaving = f }
}

// WithAddress makes a spreader tell others that the daemon accepts them at a.
func WithAddress(a lavenderridge.Address) func(*Spreader) {
	return func(s *Spreader) { s.address = a }
}

// WithSuspects makes a spreader share the suspects in p.
func WithSuspects(p lavenderridge.SuspectStore) func(*Spreader) {
	return func(s *Spreader) { s.suspects = p }
}

// WithRecorder makes a spreader record its decisions in r.
func WithRecorder(r lavenderridge.Recorder) func(*Spreader) {
	return func(s *Spreader) { s.recorder = r }
}

// WithCounters makes a spreader count its calls in r, from zero.
func WithCounters(r metrics.Registry) func(*Spreader) {
	return func(s *Spreader) {
		s.counters = r
		for _, n := range []string{CounterAnnounce, CounterAntiEntropy, CounterGate, CounterPullDelta, CounterPullWhole} {
			metrics.GetOrRegisterCounter(n, r)
		}
	}
}

// Run spreads versions until c ends.
func (s *Spreader) Run(c context.Context) error {
	g, c := errgroup.WithContext(c)
	g.Go(func() error { return s.watchStore(c) })
	g.Go(func() error { return s.compare(c) })
	g.Go(func() error { return s.pullLoop(c) })
	g.Go(func() error { return s.gateLoop(c) })
	g.Go(func() error { return s.beatLoop(c) })
	e := g.Wait()
	s.tellLeaving(context.WithoutCancel(c))
	return e
}

// Heard takes in the sender of any message. It does not block.
func (s *Spreader) Heard(v lavenderridge.Sender) {
	if n := s.store.Snapshot(); n != nil && n.Versions().Covers(v.Stamps.Versions()) {
		return
	}
	if s.plan.MessageReceived(v, s.versions()) {
		s.wakePull()
	}
}

// Exchange implements Exchanger.
func (s *Spreader) Exchange(_ context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	s.takeIn(q, true)
	return s.exchange(), nil
}

// Pull implements Exchanger.
func (s *Spreader) Pull(_ context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	if !s.limiter.Begin() {
		return &lavenderridge.PullReply{Sender: s.sender(), Busy: true}, nil
	}
	defer s.limiter.End()
	p := s.store.Serve(q.Name, q.Have)
	if p.Whole != nil && !s.limiter.AllowWhole(s.clock.Now()) {
		p = &lavenderridge.PullReply{Busy: true}
	}
	p.Sender = s.sender()
	return p, nil
}

// sender returns the sender of messages that spread versions. Its stamps are
// those of each document by itself, so that one spreads while there is no
// acceptable version of the other.
func (s *Spreader) sender() lavenderridge.Sender {
	v := s.self()
	v.Stamps = s.store.Stamps()
	return v
}

// versions returns the versions of both documents, be there a snapshot or not.
func (s *Spreader) versions() lavenderridge.Versions {
	if n := s.store.Snapshot(); n != nil {
		return n.Versions()
	}
	return s.store.Stamps().Versions()
}

func (s *Spreader) exchange() *lavenderridge.Exchange {
	t := s.clock.Now()
	q := &lavenderridge.Exchange{Sender: s.sender(), Address: s.address, Leaving: s.leaving(), SourceAge: s.contact.ReportedAge(t)}
	if s.suspects != nil {
		q.Suspects = s.suspects.Suspects(t)
	}
	return q
}

// takeIn takes in what a neighbour told. The flag i says that it called.
func (s *Spreader) takeIn(q *lavenderridge.Exchange, i bool) {
	t := s.clock.Now()
	s.neighbourhood.AddUnlisted(q.Sender, q.Address)
	if !s.neighbourhood.MessageReceived(q.Sender, i, q.Leaving, t) {
		return
	}
	s.contact.PeerReported(q.SourceAge, t)
	s.acceptor.PeerContacted(q.Sender)
	if s.suspects != nil && len(q.Suspects) > 0 {
		s.suspects.Merge(q.Suspects, t)
	}
	s.Heard(q.Sender)
}

// watchStore chooses neighbours and announces whenever a version comes into
// force.
func (s *Spreader) watchStore(c context.Context) error {
	var l *lavenderridge.InstanceList
	var w sync.WaitGroup
	defer w.Wait()
	for {
		f := s.store.Changed()
		if n := s.store.InstanceList(); n != nil && n != l {
			l = n
			s.neighbourhood.SetList(l)
		}
		// A neighbour that does not answer must not hold up the next version.
		w.Go(func() { s.announce(c) })
		select {
		case <-c.Done():
			return nil
		case <-f:
		}
	}
}

// announce tells the neighbours that are behind.
func (s *Spreader) announce(c context.Context) {
	s.callAll(c, s.neighbourhood.Behind(s.versions(), s.clock.Now()), CounterAnnounce)
}

// callAll exchanges versions with all of a at once, waits, and returns the
// replies.
func (s *Spreader) callAll(c context.Context, a []*lavenderridge.Instance, n string) []*lavenderridge.Exchange {
	var g errgroup.Group
	var m sync.Mutex
	var r []*lavenderridge.Exchange
	g.SetLimit(maxAnnouncements)
	for _, v := range a {
		g.Go(func() error {
			if p, e := s.call(c, v, n); e == nil {
				m.Lock()
				defer m.Unlock()
				r = append(r, p)
			}
			return nil
		})
	}
	_ = g.Wait()
	return r
}

// call exchanges versions with the neighbour v, for the cause that the counter
// n names.
func (s *Spreader) call(c context.Context, v *lavenderridge.Instance, n string) (*lavenderridge.Exchange, error) {
	p := c
	c, f := context.WithTimeout(c, exchangeTimeout)
	defer f()
	s.count(n)
	b := s.gate.Epoch()
	q, e := s.dialer.Dial(v).Exchange(c, s.exchange())
	if e != nil {
		if p.Err() == nil {
			s.neighbourhood.Failed(v.ID)
		}
		return nil, e
	}
	s.takeIn(q, false)
	if b > 1 {
		s.gate.Open(b, q.Sender.Stamps.Versions(), s.clock.Now())
	}
	return q, nil
}

// compare exchanges versions with one neighbour in turn.
func (s *Spreader) compare(c context.Context) error {
	for lavenderridge.Sleep(c, exchangeInterval*4/5+rand.N(exchangeInterval*2/5)) == nil {
		if n := s.neighbourhood.Next(s.clock.Now()); n != nil {
			_, _ = s.call(c, n, CounterAntiEntropy)
		}
	}
	return nil
}

func (s *Spreader) count(n string) {
	metrics.GetOrRegisterCounter(n, s.counters).Inc(1)
}
