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
	// exchangeInterval is the mean time between two anti-entropy exchanges.
	exchangeInterval = time.Second
	exchangeTimeout  = 900 * time.Millisecond
	// pullTimeout is for large documents on crowded links. The transport closes
	// half-open connections sooner.
	pullTimeout            = 5 * time.Second
	pullRetryInterval      = 100 * time.Millisecond
	maxConcurrentExchanges = 16

	// hedgeDelay is how long a pull may run before the document is pulled from another
	// daemon as well. Pulls that are not held up rarely take that long.
	hedgeDelay = 250 * time.Millisecond
	// maxPulls is the number of pulls of one document that run at the same time.
	maxPulls = 4
)

// The names of the counters of calls to other daemons, by cause.
const (
	CounterAnnounce    = "Control.Announce"
	CounterAntiEntropy = "Control.AntiEntropy"
	CounterGate        = "Control.Gate"
	CounterLeaving     = "Control.Leaving"
	CounterPullDelta   = "Control.PullDelta"
	CounterProof       = "Control.Proof"
	CounterPullWhole   = "Control.PullWhole"
	CounterFollowing   = "Control.Following"
)

// A Gossiper disseminates versions of the configuration by gossip: it announces each
// newly accepted version to its neighbours, compares versions with the neighbours in
// turn (anti-entropy), and pulls newer versions from other daemons. It also opens the
// readiness gate and announces that the daemon is leaving.
type Gossiper struct {
	self          func() lavenderridge.Sender
	store         *configservice.Store
	acceptor      *daemonconfig.Acceptor
	gate          *configservice.ReadinessGate
	sourceContact *configservice.SourceContact
	neighbourhood *peer.Neighbourhood
	dialer        lavenderridge.PeerDialer
	clock         lavenderridge.Clock
	log           *zap.Logger
	leaving       func() bool
	address       lavenderridge.Address
	suspects      lavenderridge.SuspectStore
	sentSuspects  *peer.SentSuspects
	recorder      lavenderridge.Recorder
	counters      metrics.Registry

	pullers     []*puller
	pullLimiter *peer.PullLimiter
	// proofs is nil unless WithProofs is used.
	proofs *daemonconfig.ProofTracker
	apply  configservice.ApplyPlan
	// started is when Run was called.
	started          time.Time
	leavingAnnounced atomic.Bool
	// startedAlone is true if no neighbour replied at the start.
	startedAlone atomic.Bool
}

var _ Exchanger = (*Gossiper)(nil)

// NewGossiper returns a gossiper for the documents in the store s. It reaches other
// daemons with d; the function f returns the sender of its messages.
func NewGossiper(f func() lavenderridge.Sender, s *configservice.Store, a *daemonconfig.Acceptor, g *configservice.ReadinessGate, t *configservice.SourceContact, h *peer.Neighbourhood, d lavenderridge.PeerDialer, k lavenderridge.Clock, o ...func(*Gossiper)) *Gossiper {
	p := &Gossiper{
		self: f, store: s, acceptor: a, gate: g, sourceContact: t, neighbourhood: h, dialer: d, clock: k,
		log: zap.NewNop(), leaving: func() bool { return false }, apply: configservice.NewApplyPlan(0), counters: metrics.NewRegistry(),
		pullers:     []*puller{newPuller(lavenderridge.DocumentCatalogue), newPuller(lavenderridge.DocumentInstanceList)},
		pullLimiter: peer.NewPullLimiter(), sentSuspects: peer.NewSentSuspects(),
	}
	for _, v := range o {
		v(p)
	}
	return p
}

// WithLogger makes a gossiper log to l.
func WithLogger(l *zap.Logger) func(*Gossiper) {
	return func(s *Gossiper) { s.log = l }
}

// WithLeaving makes a gossiper announce to neighbours that the daemon accepts no new
// work once f returns true.
func WithLeaving(f func() bool) func(*Gossiper) {
	return func(s *Gossiper) { s.leaving = f }
}

// WithApply makes a gossiper ask other daemons who follows the source as the plan p
// requires. The default is the plan for the default time.
func WithApply(p configservice.ApplyPlan) func(*Gossiper) {
	return func(s *Gossiper) { s.apply = p }
}

// WithAddress makes a gossiper send a as the address at which the daemon accepts
// connections from other daemons.
func WithAddress(a lavenderridge.Address) func(*Gossiper) {
	return func(s *Gossiper) { s.address = a }
}

// WithSuspects makes a gossiper send the suspects in p and merge those that it
// receives into p.
func WithSuspects(p lavenderridge.SuspectStore) func(*Gossiper) {
	return func(s *Gossiper) { s.suspects = p }
}

// WithRecorder makes a gossiper record its decisions in r.
func WithRecorder(r lavenderridge.Recorder) func(*Gossiper) {
	return func(s *Gossiper) { s.recorder = r }
}

// WithCounters makes a gossiper count its calls in r. All counters except
// CounterLeaving exist from the start, with the value zero.
func WithCounters(r metrics.Registry) func(*Gossiper) {
	return func(s *Gossiper) {
		s.counters = r
		for _, n := range []string{CounterAnnounce, CounterAntiEntropy, CounterGate, CounterProof, CounterPullDelta, CounterPullWhole, CounterFollowing} {
			metrics.GetOrRegisterCounter(n, r)
		}
	}
}

// Run exchanges and pulls versions until c ends. It announces that the daemon is
// leaving before it returns, if that has not been done.
func (s *Gossiper) Run(c context.Context) error {
	s.started = s.clock.Now()
	g, c := errgroup.WithContext(c)
	g.Go(func() error { return s.announceLoop(c) })
	g.Go(func() error { return s.antiEntropyLoop(c) })
	for _, p := range s.pullers {
		g.Go(func() error { return s.pullLoop(c, p) })
	}
	g.Go(func() error { return s.gateLoop(c) })
	g.Go(func() error { return s.heartbeatLoop(c) })
	g.Go(func() error { return s.askLoop(c) })
	e := g.Wait()
	s.announceLeaving(context.WithoutCancel(c))
	return e
}

// MessageReceived records the versions in the sender of any message and wakes the
// pull loops of the documents that are newer. It does not block.
func (s *Gossiper) MessageReceived(v lavenderridge.Sender) {
	if n := s.store.Snapshot(); n != nil && n.Versions().Covers(v.Stamps.Versions()) {
		return
	}
	for _, p := range s.pullers {
		if p.scheduler.MessageReceived(v, s.versions().Of(p.document)) {
			wake(p.needed)
		}
	}
}

// Exchange implements Exchanger.
func (s *Gossiper) Exchange(_ context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	s.merge(q, true)
	p := s.newExchange(q.Sender.Instance, s.sentSuspects.ForReply)
	s.sentSuspects.Replied(q.Sender.Instance, q.Sender.Incarnation, p.Suspects, s.clock.Now())
	return p, nil
}

// Pull implements Exchanger.
func (s *Gossiper) Pull(_ context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	if !s.pullLimiter.Begin() {
		return &lavenderridge.PullReply{Sender: s.sender(), Busy: true}, nil
	}
	defer s.pullLimiter.End()
	p := s.store.Serve(q.Name, q.Have)
	if p.Whole != nil && !s.pullLimiter.AllowWhole(s.clock.Now()) {
		p = &lavenderridge.PullReply{Busy: true}
	}
	p.Sender = s.sender()
	return p, nil
}

// sender returns the sender of messages that disseminate versions. Its stamps are
// those of each document on its own rather than of the snapshot, so that one document
// is disseminated even if no version of the other has been accepted.
func (s *Gossiper) sender() lavenderridge.Sender {
	v := s.self()
	v.Stamps = s.store.Stamps()
	return v
}

// versions returns the accepted versions of both documents, whether or not there is
// a snapshot.
func (s *Gossiper) versions() lavenderridge.Versions {
	if n := s.store.Snapshot(); n != nil {
		return n.Versions()
	}
	return s.store.Stamps().Versions()
}

// newExchange returns the message that announces this daemon's state to the instance n.
// The function f selects the suspects that it contains.
func (s *Gossiper) newExchange(n lavenderridge.InstanceID, f func(lavenderridge.InstanceID, []lavenderridge.Suspect, time.Time) []lavenderridge.Suspect) *lavenderridge.Exchange {
	t := s.clock.Now()
	q := &lavenderridge.Exchange{Sender: s.sender(), Address: s.address, Leaving: s.leaving(), SourceAge: s.sourceContact.ReportedAge(t), Proof: s.proofs.Proof()}
	q.Following = s.sourceContact.Following(q.Sender.Instance, t)
	if s.suspects != nil {
		q.Suspects = f(n, s.suspects.Suspects(t), t)
	}
	return q
}

// merge records the state that another daemon sent. The flag i is true if that
// daemon made the call. A message from an earlier incarnation is ignored.
func (s *Gossiper) merge(q *lavenderridge.Exchange, i bool) {
	t := s.clock.Now()
	s.neighbourhood.AddUnlisted(q.Sender, q.Address)
	if !s.neighbourhood.MessageReceived(q.Sender, i, q.Leaving, t) {
		return
	}
	s.sentSuspects.Restarted(q.Sender.Instance, q.Sender.Incarnation)
	s.sentSuspects.Exchanged(q.Sender.Instance, q.Sender.Incarnation, q.Suspects, t)
	s.sourceContact.PeerReported(q.SourceAge, t)
	s.acceptor.PeerContacted(q.Sender)
	if s.suspects != nil && len(q.Suspects) > 0 {
		s.suspects.Merge(q.Suspects, t)
	}
	s.MessageReceived(q.Sender)
}

// announceLoop announces each newly accepted version. It selects the neighbours anew
// when the instance list has changed.
func (s *Gossiper) announceLoop(c context.Context) error {
	var l *lavenderridge.InstanceList
	var w sync.WaitGroup
	defer w.Wait()
	for {
		f := s.store.Changed()
		if n := s.store.InstanceList(); n != nil && n != l {
			l = n
			s.neighbourhood.SetList(l)
		}
		// A neighbour that does not reply must not delay the next announcement.
		w.Go(func() { s.announce(c) })
		select {
		case <-c.Done():
			return nil
		case <-f:
		}
	}
}

// announce exchanges versions with the neighbours that are not known to have the
// accepted versions.
func (s *Gossiper) announce(c context.Context) {
	s.exchangeWithEach(c, s.neighbourhood.Behind(s.versions(), s.clock.Now()), CounterAnnounce)
}

// exchangeWithEach exchanges versions with the instances a concurrently and returns
// the replies that it received. The counter n names the cause.
func (s *Gossiper) exchangeWithEach(c context.Context, a []*lavenderridge.Instance, n string) []*lavenderridge.Exchange {
	var g errgroup.Group
	var m sync.Mutex
	var r []*lavenderridge.Exchange
	g.SetLimit(maxConcurrentExchanges)
	for _, v := range a {
		g.Go(func() error {
			if p, e := s.exchangeWith(c, v, n); e == nil {
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

// exchangeWith exchanges versions with the instance v and merges the reply. The
// counter n names the cause. The reply opens the gate, except in the first epoch, in
// which openAtStart does so once it has queried the neighbours.
func (s *Gossiper) exchangeWith(c context.Context, v *lavenderridge.Instance, n string) (*lavenderridge.Exchange, error) {
	return s.sendExchange(c, v, n, s.newExchange(v.ID, s.sentSuspects.ForCall))
}

// sendExchange sends the exchange x as exchangeWith does.
func (s *Gossiper) sendExchange(c context.Context, v *lavenderridge.Instance, n string, x *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	p := c
	c, f := context.WithTimeout(c, exchangeTimeout)
	defer f()
	s.count(n)
	b, u, t := s.gate.Epoch(), s.proofs.BeginCall(), s.clock.Now()
	q, e := s.dialer.Dial(v).Exchange(c, x)
	if e != nil {
		if p.Err() == nil {
			s.neighbourhood.Failed(v.ID)
		}
		return nil, e
	}
	s.recordProof(q, u)
	if f := q.Following; f.By != "" && f.By != x.Sender.Instance {
		s.sourceContact.PeerFollows(f, t)
	}
	s.merge(q, false)
	s.sentSuspects.Exchanged(v.ID, q.Sender.Incarnation, x.Suspects, s.clock.Now())
	if b > 1 {
		s.gate.Open(b, q.Sender.Stamps.Versions(), s.clock.Now())
	}
	return q, nil
}

// antiEntropyLoop exchanges versions with one neighbour at a time, in turn.
func (s *Gossiper) antiEntropyLoop(c context.Context) error {
	for lavenderridge.Sleep(c, exchangeInterval*4/5+rand.N(exchangeInterval*2/5)) == nil {
		if n := s.neighbourhood.Next(s.clock.Now()); n != nil {
			_, _ = s.exchangeWith(c, n, CounterAntiEntropy)
		}
	}
	return nil
}

// count increments the counter n.
func (s *Gossiper) count(n string) {
	metrics.GetOrRegisterCounter(n, s.counters).Inc(1)
}
