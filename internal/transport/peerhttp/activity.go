package peerhttp

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// linger is how long no call may have come before a stopping server closes
	// its connections.
	linger = 200 * time.Millisecond
	// maxLingers bounds the wait of a server to which calls keep coming that
	// it refuses at once.
	maxLingers = 5
)

// activity counts the calls that a server runs.
type activity struct {
	running atomic.Int64
	begun   atomic.Int64
}

func (k *activity) begin() {
	k.begun.Add(1)
	k.running.Add(1)
}

func (k *activity) end() {
	k.running.Add(-1)
}

// quiet returns when no call has run or begun for a short time, when none runs
// at several looks in a row, or when c ends.
func (k *activity) quiet(c context.Context) {
	t := time.NewTicker(linger)
	defer t.Stop()
	for n := 0; n < maxLingers; {
		b := k.begun.Load()
		select {
		case <-t.C:
		case <-c.Done():
			return
		}
		if k.running.Load() > 0 {
			n = 0
			continue
		}
		if n++; k.begun.Load() == b {
			return
		}
	}
}
