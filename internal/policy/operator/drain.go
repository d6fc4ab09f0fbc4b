package operator

import (
	"context"
	"sync/atomic"
)

// drainBit is set in the state of a Drain once it is started.
const drainBit int64 = 1 << 62

// A Drain admits requests until it is started, and then waits for those in
// flight to end. Its state is a single atomic.
type Drain struct {
	state atomic.Int64  // number of requests in flight, plus drainBit
	empty chan struct{} // closed when the drain is started and no request is in flight
}

// NewDrain returns a drain that is not started.
func NewDrain() *Drain {
	return &Drain{empty: make(chan struct{})}
}

// Enter admits a request and returns true, or returns false if the drain is
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

// Leave records the end of a request that Enter admitted.
func (d *Drain) Leave() {
	if d.state.Add(-1) == drainBit {
		close(d.empty)
	}
}

// Start stops the admission of requests. It may be called more than once.
func (d *Drain) Start() {
	if d.state.Or(drainBit) == 0 {
		close(d.empty)
	}
}

// Started reports whether Start was called.
func (d *Drain) Started() bool {
	return d.state.Load()&drainBit != 0
}

// Wait returns nil once the drain is started and no request is in flight, or
// the error of c if c ends first.
func (d *Drain) Wait(c context.Context) error {
	select {
	case <-d.empty:
		return nil
	case <-c.Done():
		return c.Err()
	}
}
