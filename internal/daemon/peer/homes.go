package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

const (
	tickInterval  = 50 * time.Millisecond
	sweepInterval = 10 * time.Second
	// askInterval is the time between exchanges of a home that lacks none.
	askInterval = 400 * time.Millisecond
	minBackoff  = 50 * time.Millisecond
	askTimeout  = 400 * time.Millisecond
	maxAsked    = 32
	// maxHandOver bounds the records of one message.
	maxHandOver     = lavenderridge.Mebibyte
	handOverTimeout = 2 * time.Second
	handOverBackoff = time.Second
)

// homeState is what requests read. It never changes once made.
type homeState struct {
	view *peer.HomeView
	// snapshot is the one that the view was taken from.
	snapshot *lavenderridge.Snapshot
	changed  chan struct{}
}

// Homes keeps this daemon's part in the homes of its service: it gathers and
// gives acknowledgements and hands ledger records over. Requests read its state
// through one atomic pointer and never wait for the mutex, which orders those
// that change it.
type Homes struct {
	service   lavenderridge.ServiceID
	snapshots lavenderridge.SnapshotSource
	clock     lavenderridge.Clock
	peers     lavenderridge.PeerDialer
	self      func() lavenderridge.Sender
	recorder  lavenderridge.Recorder
	ledger    *backendserver.Ledger
	state     atomic.Pointer[homeState]
	wakeAsk   chan struct{}
	wakeGive  chan struct{}

	mutex      sync.Mutex
	activation *peer.HomeActivation
	plan       *peer.RequestBackoff
	partner    lavenderridge.InstanceID
	turn       int
}

var (
	_ HomeKeeper                  = (*Homes)(nil)
	_ lavenderridge.HomeAuthority = (*Homes)(nil)
)

// NewHomes returns the homes of the service d, whose runs are in the ledger l.
// The function f gives the sender of messages.
func NewHomes(d lavenderridge.ServiceID, s lavenderridge.SnapshotSource, k lavenderridge.Clock, p lavenderridge.PeerDialer, f func() lavenderridge.Sender, r lavenderridge.Recorder, l *backendserver.Ledger) *Homes {
	n := f()
	h := &Homes{
		service: d, snapshots: s, clock: k, peers: p, self: f, recorder: r, ledger: l,
		wakeAsk: make(chan struct{}, 1), wakeGive: make(chan struct{}, 1),
		activation: peer.NewHomeActivation(n.Instance, n.Incarnation, peer.DefaultHomeLimits(), k.Now()),
		plan:       peer.NewRequestBackoff(),
	}
	h.state.Store(&homeState{view: h.activation.View(), changed: make(chan struct{})})
	return h
}

// Authority implements lavenderridge.HomeAuthority. When a new snapshot is in
// force it adopts that first, unless another goroutine is about to.
func (h *Homes) Authority() lavenderridge.KeyAuthority {
	if h.state.Load().snapshot != h.snapshots.Snapshot() && h.mutex.TryLock() {
		h.changeLocked(func(*peer.HomeActivation) {})
		h.mutex.Unlock()
	}
	return h.state.Load().view
}

// Changed implements lavenderridge.HomeAuthority.
func (h *Homes) Changed() <-chan struct{} {
	return h.state.Load().changed
}

// Finished implements lavenderridge.HomeAuthority.
func (h *Homes) Finished(k lavenderridge.IdempotencyKey) {
	if m := h.state.Load().view.Membership(); m != nil && m.Home(k) != h.self().Instance {
		wake(h.wakeGive)
	}
}

// Status returns what operators see.
func (h *Homes) Status() lavenderridge.HomeStatus {
	v, t := h.state.Load().view, h.clock.Now()
	s := lavenderridge.HomeStatus{
		Active: v.Active(t), Fenced: v.Fenced(t),
		Entries: h.ledger.Size(), Stored: h.ledger.Bytes(),
	}
	if m := v.Membership(); m != nil {
		s.Versions = m.Versions()
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	s.Waiting = h.activation.Waiting()
	return s
}

// Run keeps the homes until c ends.
func (h *Homes) Run(c context.Context) error {
	g, c := errgroup.WithContext(c)
	g.Go(func() error { return h.tickLoop(c) })
	g.Go(func() error { return h.askLoop(c) })
	g.Go(func() error { return h.giveLoop(c) })
	return g.Wait()
}

func (h *Homes) tickLoop(c context.Context) error {
	k := time.NewTicker(tickInterval)
	defer k.Stop()
	s := h.clock.Now()
	for {
		select {
		case <-c.Done():
			return nil
		case <-k.C:
		}
		t := h.clock.Now()
		h.change(func(a *peer.HomeActivation) { a.Tick(t) })
		if t.Sub(s) >= sweepInterval {
			s = t
			h.ledger.Sweep(t)
		}
	}
}

// change adopts the snapshot in force, applies f and puts the new state in
// force.
func (h *Homes) change(f func(a *peer.HomeActivation)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changeLocked(f)
}

func (h *Homes) changeLocked(f func(a *peer.HomeActivation)) {
	a, t, s := h.activation, h.clock.Now(), h.snapshots.Snapshot()
	if s != nil && s != h.state.Load().snapshot {
		a.Adopt(peer.NewHomeMembership(s, h.service), t)
	}
	f(a)
	h.publish(a.View(), s, t)
}

func (h *Homes) publish(v *peer.HomeView, s *lavenderridge.Snapshot, t time.Time) {
	o := h.state.Load()
	m, n := o.view.Membership(), v.Membership()
	if m == n && o.view.Active(t) == v.Active(t) && o.view.Fenced(t) == v.Fenced(t) {
		h.state.Store(&homeState{view: v, snapshot: s, changed: o.changed})
		return
	}
	h.state.Store(&homeState{view: v, snapshot: s, changed: make(chan struct{})})
	close(o.changed)
	if m == nil || n != nil && m.Digest() != n.Digest() {
		wake(h.wakeAsk)
		wake(h.wakeGive)
	}
	h.record(v, t)
}

func (h *Homes) record(v *peer.HomeView, t time.Time) {
	r := "an acknowledgement is missing"
	switch {
	case v.Fenced(t):
		r = "no recent exchange with another instance"
	case v.Active(t):
		r = "every listed instance has acknowledged"
	}
	d := lavenderridge.Decision{Time: t, Event: "HomeChanged", Subject: string(h.service), Reason: r}
	if m := v.Membership(); m != nil {
		d.Versions = m.Versions()
	}
	h.recorder.Record(d)
}

// Activate implements HomeKeeper. The records are read from the ledger only
// after the state under which the acknowledgement is given is in force.
func (h *Homes) Activate(_ context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	var p *lavenderridge.ActivationReply
	var m *peer.HomeMembership
	h.change(func(a *peer.HomeActivation) {
		h.plan.MessageReceived(q.Sender.Instance)
		p, m = a.Reply(q, h.self(), h.clock.Now()), a.Membership()
	})
	if p.Acknowledged && q.Gathering {
		p.Records, p.Whole = h.ledger.Records(q.Sender.Instance, m.Home, maxHandOver)
	}
	return p, nil
}

// HandOver implements HomeKeeper.
func (h *Homes) HandOver(_ context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	p := &lavenderridge.HandOverReply{Sender: h.self()}
	if q.Service == h.service {
		p.Kept = h.merge(q.Records, h.clock.Now())
	}
	return p, nil
}

func (h *Homes) merge(l []lavenderridge.LedgerRecord, t time.Time) int {
	n := 0
	for _, r := range l {
		if h.ledger.Merge(r, t) {
			n++
		}
	}
	return n
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits for d, and reports whether w ended it before that.
func pause(c context.Context, d time.Duration, w <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-t.C:
	case <-w:
		return true
	}
	return false
}
