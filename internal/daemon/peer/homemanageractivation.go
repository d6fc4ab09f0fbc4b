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

// activationLoop requests the missing acknowledgements, and otherwise repeats the
// exchange with one other instance. While acknowledgements are missing, or a
// recipient does not reply or is not settled, the wait doubles from minBackoff up to
// homeExchangeInterval.
func (h *HomeManager) activationLoop(c context.Context) error {
	b := minBackoff
	for c.Err() == nil {
		n, w := h.requestRecipients()
		o := h.requestAll(c, n)
		d := homeExchangeInterval
		switch {
		case !o || w:
			d, b = b, min(2*b, homeExchangeInterval)
		default:
			b = minBackoff
		}
		if sleepUntilWoken(c, d/2+rand.N(d), h.wakeActivation) {
			b = minBackoff
		}
	}
	return nil
}

// requestRecipients returns the instances to send a request to, and whether
// acknowledgements are missing. The first is the partner of the regular exchange, also
// while acknowledgements are missing: a home that waits for an instance that is gone
// must still have exchanges with the others, or it would be fenced.
func (h *HomeManager) requestRecipients() ([]lavenderridge.InstanceID, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	m := h.activation.Membership()
	if m == nil {
		return nil, false
	}
	t := h.clock.Now()
	h.requestBackoff.Keep(m.Listed())
	w := h.activation.Waiting()
	l := h.requestBackoff.Due(w, t)
	h.partner = h.choosePartner(m, t)
	if h.partner == "" {
		return l, len(w) > 0
	}
	l = slices.DeleteFunc(l, func(n lavenderridge.InstanceID) bool { return n == h.partner })
	return append([]lavenderridge.InstanceID{h.partner}, l...), len(w) > 0
}

// choosePartner returns the instance for the exchange at t, or "" if there is none
// that the backoff allows. The order of preference is that of the list, rotated to
// begin partnerOffset places after the successor of this instance.
func (h *HomeManager) choosePartner(m *peer.HomeMembership, t time.Time) lavenderridge.InstanceID {
	var l []lavenderridge.InstanceID
	for i, n := range m.Listed() {
		if n == h.self().Instance {
			l = append(append(l, m.Listed()[i+1:]...), m.Listed()[:i]...)
		}
	}
	if len(l) == 0 {
		return ""
	}
	k := h.partnerOffset % len(l)
	if a := h.requestBackoff.Due(append(l[k:len(l):len(l)], l[:k]...), t); len(a) > 0 {
		return a[0]
	}
	return ""
}

// requestAll sends a request to each of the instances n, waits for the replies, and
// reports whether all replied and are settled.
func (h *HomeManager) requestAll(c context.Context, n []lavenderridge.InstanceID) bool {
	var g errgroup.Group
	var f atomic.Bool
	g.SetLimit(maxConcurrentCalls)
	for _, d := range n {
		g.Go(func() error {
			if !h.requestAcknowledgement(c, d) {
				f.Store(true)
				h.skipPartner(d)
			}
			return nil
		})
	}
	_ = g.Wait()
	return !f.Load()
}

// skipPartner selects another partner for the next exchange if n is the present
// one.
func (h *HomeManager) skipPartner(n lavenderridge.InstanceID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if n == h.partner {
		h.partnerOffset++
	}
}

// requestAcknowledgement sends an ActivationRequest to the instance n, records the
// reply with its ledger records, and reports whether n is settled.
func (h *HomeManager) requestAcknowledgement(c context.Context, n lavenderridge.InstanceID) bool {
	s := h.snapshots.Snapshot()
	if s == nil || s.Instance(n) == nil {
		return false
	}
	var q *lavenderridge.ActivationRequest
	h.change(func(a *peer.HomeActivation) { q = a.Request(h.self()) })
	c, f := context.WithTimeout(c, activationTimeout)
	defer f()
	o := h.clock.Now()
	p, e := h.peers.Dial(s.Instance(n)).Activate(c, q)
	t := h.clock.Now()
	if e != nil {
		h.change(func(*peer.HomeActivation) { h.requestBackoff.Failed(n, t, rand.Float64()) })
		return false
	}
	p.Whole = p.Whole && h.mergeRecords(p.Records, t) == len(p.Records)
	h.change(func(a *peer.HomeActivation) {
		h.requestBackoff.MessageReceived(n)
		a.ReplyReceived(n, p, o, t)
	})
	return p.Settled
}
