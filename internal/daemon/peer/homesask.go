package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

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
		h.plan.MessageReceived(n)
		a.ReplyReceived(n, p, o, t)
	})
	return p.Settled
}
