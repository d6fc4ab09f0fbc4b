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
	// homeExchangeInterval is the mean time between two exchanges of a home that
	// misses no acknowledgement. It also bounds the backoff of one that does.
	homeExchangeInterval = 400 * time.Millisecond
	minBackoff           = 50 * time.Millisecond
	activationTimeout    = 400 * time.Millisecond
	maxConcurrentCalls   = 32
	// maxHandOver limits the size of the records that a HandOver carries, and of the
	// records with responses in an ActivationReply.
	maxHandOver     = lavenderridge.Mebibyte
	handOverTimeout = 2 * time.Second
	handOverBackoff = time.Second
)

// homeState is the immutable state that requests read.
type homeState struct {
	view *peer.HomeView
	// snapshot is the latest one that had been adopted when the view was taken.
	snapshot *lavenderridge.Snapshot
	// changed is closed when the membership changes, or when the home becomes or
	// ceases to be active or fenced.
	changed chan struct{}
}

// A HomeManager manages this daemon's role as a home of its service: it requests and
// sends acknowledgements of the membership and hands over ledger records. Requests
// read its state through one atomic pointer and never wait for the mutex, which
// serialises the changes.
type HomeManager struct {
	service        lavenderridge.ServiceID
	snapshots      lavenderridge.SnapshotSource
	clock          lavenderridge.Clock
	peers          lavenderridge.PeerDialer
	self           func() lavenderridge.Sender
	recorder       lavenderridge.Recorder
	ledger         *backendserver.Ledger
	state          atomic.Pointer[homeState]
	wakeActivation chan struct{}
	wakeHandOver   chan struct{}

	mutex          sync.Mutex
	activation     *peer.HomeActivation
	requestBackoff *peer.RequestBackoff
	// partner is the instance of the present exchange, or empty. partnerOffset
	// selects it among the other listed instances.
	partner       lavenderridge.InstanceID
	partnerOffset int
}

var (
	_ HomeServer                  = (*HomeManager)(nil)
	_ lavenderridge.HomeAuthority = (*HomeManager)(nil)
)

// NewHomeManager returns the manager for the service d, whose keyed runs are recorded
// in the ledger l. The function f returns the sender of this daemon's messages.
func NewHomeManager(d lavenderridge.ServiceID, s lavenderridge.SnapshotSource, k lavenderridge.Clock, p lavenderridge.PeerDialer, f func() lavenderridge.Sender, r lavenderridge.Recorder, l *backendserver.Ledger) *HomeManager {
	n := f()
	h := &HomeManager{
		service: d, snapshots: s, clock: k, peers: p, self: f, recorder: r, ledger: l,
		wakeActivation: make(chan struct{}, 1), wakeHandOver: make(chan struct{}, 1),
		activation:     peer.NewHomeActivation(n.Instance, n.Incarnation, peer.DefaultHomeLimits(), k.Now()),
		requestBackoff: peer.NewRequestBackoff(),
	}
	h.state.Store(&homeState{view: h.activation.View(), changed: make(chan struct{})})
	return h
}

// Authority implements lavenderridge.HomeAuthority. It first adopts a new snapshot
// if there is one, unless another goroutine holds the mutex: that one may be
// adopting it.
func (h *HomeManager) Authority() lavenderridge.KeyAuthority {
	if h.state.Load().snapshot != h.snapshots.Snapshot() && h.mutex.TryLock() {
		h.changeLocked(func(*peer.HomeActivation) {})
		h.mutex.Unlock()
	}
	return h.state.Load().view
}

// Changed implements lavenderridge.HomeAuthority.
func (h *HomeManager) Changed() <-chan struct{} {
	return h.state.Load().changed
}

// Finished implements lavenderridge.HomeAuthority.
func (h *HomeManager) Finished(k lavenderridge.IdempotencyKey) {
	if m := h.state.Load().view.Membership(); m != nil && m.Home(k) != h.self().Instance {
		wake(h.wakeHandOver)
	}
}

// Status returns the state that is shown to operators.
func (h *HomeManager) Status() lavenderridge.HomeStatus {
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

// Run advances the activation, requests acknowledgements and hands over records
// until c ends.
func (h *HomeManager) Run(c context.Context) error {
	g, c := errgroup.WithContext(c)
	g.Go(func() error { return h.tickLoop(c) })
	g.Go(func() error { return h.activationLoop(c) })
	g.Go(func() error { return h.handOverLoop(c) })
	return g.Wait()
}

// tickLoop advances the time of the activation and sweeps the ledger.
func (h *HomeManager) tickLoop(c context.Context) error {
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

// change adopts the current snapshot, applies f and publishes the new state.
func (h *HomeManager) change(f func(a *peer.HomeActivation)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changeLocked(f)
}

// changeLocked does the same as change. The caller holds the mutex.
func (h *HomeManager) changeLocked(f func(a *peer.HomeActivation)) {
	a, t, s := h.activation, h.clock.Now(), h.snapshots.Snapshot()
	if s != nil && s != h.state.Load().snapshot {
		a.Adopt(peer.NewHomeMembership(s, h.service), t)
	}
	f(a)
	h.publish(a.View(), s, t)
}

// publish stores the state that requests read. If the membership has changed, or
// whether the home is active or fenced, it closes the channel of the previous state.
// It wakes the loops if the membership has new content.
func (h *HomeManager) publish(v *peer.HomeView, s *lavenderridge.Snapshot, t time.Time) {
	o := h.state.Load()
	m, n := o.view.Membership(), v.Membership()
	if m == n && o.view.Active(t) == v.Active(t) && o.view.Fenced(t) == v.Fenced(t) {
		h.state.Store(&homeState{view: v, snapshot: s, changed: o.changed})
		return
	}
	h.state.Store(&homeState{view: v, snapshot: s, changed: make(chan struct{})})
	close(o.changed)
	if m == nil || n != nil && m.Digest() != n.Digest() {
		wake(h.wakeActivation)
		wake(h.wakeHandOver)
	}
	h.recordChange(v, t)
}

// recordChange records a HomeChanged decision with the state of v at t.
func (h *HomeManager) recordChange(v *peer.HomeView, t time.Time) {
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

// Activate implements HomeServer. It reads the records from the ledger only after
// the state that was acknowledged is published: from then on this daemon starts no
// run of the requester's keys that the records could miss.
func (h *HomeManager) Activate(_ context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	var p *lavenderridge.ActivationReply
	var m *peer.HomeMembership
	h.change(func(a *peer.HomeActivation) {
		h.requestBackoff.MessageReceived(q.Sender.Instance)
		p, m = a.Reply(q, h.self(), h.clock.Now()), a.Membership()
	})
	if p.Acknowledged && q.Gathering {
		p.Records, p.Whole = h.ledger.Records(q.Sender.Instance, m.Home, maxHandOver)
	}
	return p, nil
}

// HandOver implements HomeServer.
func (h *HomeManager) HandOver(_ context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	p := &lavenderridge.HandOverReply{Sender: h.self()}
	if q.Service == h.service {
		p.Kept = h.mergeRecords(q.Records, h.clock.Now())
	}
	return p, nil
}

// mergeRecords merges the records l into the ledger and returns how many it kept.
func (h *HomeManager) mergeRecords(l []lavenderridge.LedgerRecord, t time.Time) int {
	n := 0
	for _, r := range l {
		if h.ledger.Merge(r, t) {
			n++
		}
	}
	return n
}

// wake sends to c if its buffer is empty. It does not block.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleepUntilWoken waits until d has passed, c ends or w receives a value. It
// returns true in the last case.
func sleepUntilWoken(c context.Context, d time.Duration, w <-chan struct{}) bool {
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
