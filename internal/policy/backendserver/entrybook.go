package backendserver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// latencyWeight is the number of requests over which a latency is averaged.
const latencyWeight = 16

// A LatencyBook holds the moving average of the time that the requests of each
// entry take. Concurrent samples may be lost.
type LatencyBook struct {
	entries sync.Map // of lavenderridge.EntryID to *atomic.Int64
}

// Learn takes in that a request of the entry e took d.
func (b *LatencyBook) Learn(e lavenderridge.EntryID, d time.Duration) {
	v, o := b.entries.Load(e)
	if !o {
		v, _ = b.entries.LoadOrStore(e, &atomic.Int64{})
	}
	n := v.(*atomic.Int64)
	if p := n.Load(); p > 0 {
		n.CompareAndSwap(p, p+(int64(d)-p)/latencyWeight)
		return
	}
	n.CompareAndSwap(0, int64(d))
}

// Latency returns the average of the entry e, or zero before the first request.
func (b *LatencyBook) Latency(e lavenderridge.EntryID) time.Duration {
	if v, o := b.entries.Load(e); o {
		return time.Duration(v.(*atomic.Int64).Load())
	}
	return 0
}
