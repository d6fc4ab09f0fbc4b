package peer

import (
	"context"
	"math/rand/v2"
	"slices"
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
	plan       *peer.AskPlan
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
		plan:       peer.NewAskPlan(),
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

// askLoop asks for missing acknowledgements and keeps up the exchange with one
// other instance.
func (h *Homes) askLoop(c context.Context) error {
	b := minBackoff
	for c.Err() == nil {
		n, w := h.targets()
		o := h.askAll(c, n)
		d := askInterval
		switch {
		case !o || w:
			d, b = b, min(2*b, askInterval)
		default:
			b = minBackoff
		}
		if pause(c, d/2+rand.N(d), h.wakeAsk) {
			b = minBackoff
		}
	}
	return nil
}

// targets returns the instances to ask, and whether acknowledgements are
// missing. The first is the partner of the exchange: a home that waits for an
// instance that is gone must not lose touch with the others.
func (h *Homes) targets() ([]lavenderridge.InstanceID, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	m := h.activation.Membership()
	if m == nil {
		return nil, false
	}
	t := h.clock.Now()
	h.plan.Keep(m.Listed())
	w := h.activation.Waiting()
	l := h.plan.Due(w, t)
	h.partner = h.choosePartner(m, t)
	if h.partner == "" {
		return l, len(w) > 0
	}
	l = slices.DeleteFunc(l, func(n lavenderridge.InstanceID) bool { return n == h.partner })
	return append([]lavenderridge.InstanceID{h.partner}, l...), len(w) > 0
}

// choosePartner returns the next listed instance after this one that may be
// asked at t, or "".
func (h *Homes) choosePartner(m *peer.HomeMembership, t time.Time) lavenderridge.InstanceID {
	var l []lavenderridge.InstanceID
	for i, n := range m.Listed() {
		if n == h.self().Instance {
			l = append(append(l, m.Listed()[i+1:]...), m.Listed()[:i]...)
		}
	}
	if len(l) == 0 {
		return ""
	}
	k := h.turn % len(l)
	if a := h.plan.Due(append(l[k:len(l):len(l)], l[:k]...), t); len(a) > 0 {
		return a[0]
	}
	return ""
}

// askAll asks the instances n and reports whether each answered as a settled
// home.
func (h *Homes) askAll(c context.Context, n []lavenderridge.InstanceID) bool {
	var g errgroup.Group
	var f atomic.Bool
	g.SetLimit(maxAsked)
	for _, d := range n {
		g.Go(func() error {
			if !h.ask(c, d) {
				f.Store(true)
				h.missed(d)
			}
			return nil
		})
	}
	_ = g.Wait()
	return !f.Load()
}

// missed makes the next exchange be with another instance than n.
func (h *Homes) missed(n lavenderridge.InstanceID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if n == h.partner {
		h.turn++
	}
}

func (h *Homes) ask(c context.Context, n lavenderridge.InstanceID) bool {
	s := h.snapshots.Snapshot()
	if s == nil || s.Instance(n) == nil {
		return false
	}
	var q *lavenderridge.ActivationRequest
	h.change(func(a *peer.HomeActivation) { q = a.Request(h.self()) })
	c, f := context.WithTimeout(c, askTimeout)
	defer f()
	o := h.clock.Now()
	p, e := h.peers.Dial(s.Instance(n)).Activate(c, q)
	t := h.clock.Now()
	if e != nil {
		h.change(func(*peer.HomeActivation) { h.plan.Failed(n, t, rand.Float64()) })
		return false
	}
	p.Whole = p.Whole && h.merge(p.Records, t) == len(p.Records)
	h.change(func(a *peer.HomeActivation) {
		h.plan.Heard(n)
		a.Answered(n, p, o, t)
	})
	return p.Settled
}

// Activate implements HomeKeeper. The records are read from the ledger only
// after the state under which the acknowledgement is given is in force.
func (h *Homes) Activate(_ context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	var p *lavenderridge.ActivationReply
	var m *peer.HomeMembership
	h.change(func(a *peer.HomeActivation) {
		h.plan.Heard(q.Sender.Instance)
		p, m = a.Answer(q, h.self(), h.clock.Now()), a.Membership()
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

// giveLoop hands over the records of keys whose home is now elsewhere, among
// them runs that end after their key has moved.
func (h *Homes) giveLoop(c context.Context) error {
	for c.Err() == nil {
		select {
		case <-c.Done():
			return nil
		case <-h.wakeGive:
		}
		for !h.give(c, "") && c.Err() == nil {
			pause(c, handOverBackoff/2+rand.N(handOverBackoff), h.wakeGive)
		}
	}
	return nil
}

// HandOverAll gives every record to the home that its key has once this
// instance is gone. It returns when that is done, or when c ends.
func (h *Homes) HandOverAll(c context.Context) {
	for !h.give(c, h.self().Instance) && c.Err() == nil {
		pause(c, minBackoff+rand.N(minBackoff), nil)
	}
}

// give hands records over to their homes without the instance x, and reports
// whether none is left.
func (h *Homes) give(c context.Context, x lavenderridge.InstanceID) bool {
	s, m, i := h.snapshots.Snapshot(), h.state.Load().view.Membership(), h.self().Instance
	if s == nil || m == nil {
		return true
	}
	for c.Err() == nil {
		l := h.ledger.HandOver(func(k lavenderridge.IdempotencyKey) lavenderridge.InstanceID {
			if n := m.HomeWithout(k, x); n != i {
				return n
			}
			return ""
		}, maxHandOver)
		if len(l) == 0 {
			return true
		}
		if !h.giveAll(c, s, l) {
			return false
		}
	}
	return false
}

func (h *Homes) giveAll(c context.Context, s *lavenderridge.Snapshot, l map[lavenderridge.InstanceID][]lavenderridge.LedgerRecord) bool {
	var g errgroup.Group
	var f atomic.Bool
	g.SetLimit(maxAsked)
	for n, r := range l {
		g.Go(func() error {
			if e := h.giveOne(c, s.Instance(n), r); e != nil {
				h.ledger.TakeBack(n, r)
				f.Store(true)
			}
			return nil
		})
	}
	_ = g.Wait()
	return !f.Load()
}

func (h *Homes) giveOne(c context.Context, n *lavenderridge.Instance, r []lavenderridge.LedgerRecord) error {
	if n == nil {
		return nil
	}
	c, f := context.WithTimeout(c, handOverTimeout)
	defer f()
	_, e := h.peers.Dial(n).HandOver(c, &lavenderridge.HandOver{Sender: h.self(), Service: h.service, Records: r})
	return e
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
