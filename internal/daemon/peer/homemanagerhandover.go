package peer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
)

// handOverLoop hands over the records of keys whose home is now another instance.
// They include runs that ended after the home of their key had changed.
func (h *HomeManager) handOverLoop(c context.Context) error {
	for c.Err() == nil {
		select {
		case <-c.Done():
			return nil
		case <-h.wakeHandOver:
		}
		for !h.handOverRecords(c, "") && c.Err() == nil {
			sleepUntilWoken(c, handOverBackoff/2+rand.N(handOverBackoff), h.wakeHandOver)
		}
	}
	return nil
}

// HandOverAll hands over every record to the instance that becomes the home of its
// key when this instance is no longer listed. It returns when all have been handed
// over, or when c ends.
func (h *HomeManager) HandOverAll(c context.Context) {
	for !h.handOverRecords(c, h.self().Instance) && c.Err() == nil {
		sleepUntilWoken(c, minBackoff+rand.N(minBackoff), nil)
	}
}

// handOverRecords sends each record to the home of its key, computed without the
// instance x, unless that is this instance. It reports whether none is left to
// send.
func (h *HomeManager) handOverRecords(c context.Context, x lavenderridge.InstanceID) bool {
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
		if !h.sendRecordsToEach(c, s, l) {
			return false
		}
	}
	return false
}

// sendRecordsToEach sends each instance its records in l, waits for the replies and
// reports whether all succeeded. Records that could not be sent stay in the ledger
// to be handed over again.
func (h *HomeManager) sendRecordsToEach(c context.Context, s *lavenderridge.Snapshot, l map[lavenderridge.InstanceID][]lavenderridge.LedgerRecord) bool {
	var g errgroup.Group
	var f atomic.Bool
	g.SetLimit(maxConcurrentCalls)
	for n, r := range l {
		g.Go(func() error {
			if e := h.sendRecords(c, s.Instance(n), r); e != nil {
				h.ledger.HandOverFailed(n, r)
				f.Store(true)
			}
			return nil
		})
	}
	_ = g.Wait()
	return !f.Load()
}

// sendRecords sends the records r to the instance n, and nothing if n is nil because
// the snapshot lacks it.
func (h *HomeManager) sendRecords(c context.Context, n *lavenderridge.Instance, r []lavenderridge.LedgerRecord) error {
	if n == nil {
		return nil
	}
	c, f := context.WithTimeout(c, handOverTimeout)
	defer f()
	_, e := h.peers.Dial(n).HandOver(c, &lavenderridge.HandOver{Sender: h.self(), Service: h.service, Records: r})
	return e
}
