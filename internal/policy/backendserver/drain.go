package backendserver

import (
	"context"
	"sync/atomic"
)

// drainBit is set in the state of a Drain once it takes no more requests.
const drainBit int64 = 1 << 62

// A Drain lets requests in until it is started, and then tells when the last
// of them has ended. Its state is one atomic.
type Drain struct {
	state atomic.Int64 // requests inside, and drainBit
	empty chan struct{}
}

// NewDrain returns a drain that is not started.
func NewDrain() *Drain {
	return &Drain{empty: make(chan struct{})}
}

// Enter lets a request in and reports true, or reports false once the drain is
// started.
func (d *Drain) Enter() bool {
	for {
		v := d.state.Load()
		if v&drainBit != 0 {
			return false
		}
		if d.state.CompareAndSwap(v, v+1) {
			return true
		}
	}
}

// Leave tells that a request which Enter let in has ended.
func (d *Drain) Leave() {
	if d.state.Add(-1) == drainBit {
		close(d.empty)
	}
}

// Start lets no more requests in. It may be called more than once.
func (d *Drain) Start() {
	if d.state.Or(drainBit) == 0 {
		close(d.empty)
	}
}

// Started reports whether Start was called.
func (d *Drain) Started() bool {
	return d.state.Load()&drainBit != 0
}

// Wait returns nil once the drain is started and no request is inside, or the
// error of c if that ends before.
func (d *Drain) Wait(c context.Context) error {
	select {
	case <-d.empty:
		return nil
	case <-c.Done():
		return c.Err()
	}
}
