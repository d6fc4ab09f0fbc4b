package peer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
)

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
				h.ledger.HandOverFailed(n, r)
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
