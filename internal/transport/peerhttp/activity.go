package peerhttp

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// idlePeriod is how long no call must have arrived before a stopping server
	// closes its connections.
	idlePeriod = 200 * time.Millisecond
	// maxIdlePeriods bounds the wait of a server that keeps receiving calls and
	// refuses them immediately.
	maxIdlePeriods = 5
)

// activity counts the calls that a server is running and has ever started.
type activity struct {
	running atomic.Int64
	started atomic.Int64
}

func (k *activity) begin() {
	k.started.Add(1)
	k.running.Add(1)
}

func (k *activity) end() {
	k.running.Add(-1)
}

// waitIdle returns when no call has started during an idlePeriod and none is
// running at its end, when none is running at the end of maxIdlePeriods periods in
// a row, or when c ends.
func (k *activity) waitIdle(c context.Context) {
	t := time.NewTicker(idlePeriod)
	defer t.Stop()
	for n := 0; n < maxIdlePeriods; {
		b := k.started.Load()
		select {
		case <-t.C:
		case <-c.Done():
			return
		}
		if k.running.Load() > 0 {
			n = 0
			continue
		}
		if n++; k.started.Load() == b {
			return
		}
	}
}
