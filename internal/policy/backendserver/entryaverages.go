package backendserver

import (
	"sync"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// averageWeight is the number of requests over which a value is averaged.
const averageWeight = 16

// EntryAverages holds a moving average for each entry, such as of the duration
// of its requests or of the size of their responses. Concurrent samples may be
// lost.
type EntryAverages[T ~int64] struct {
	entries sync.Map // of lavenderridge.EntryID to *atomic.Int64
}

// Observe adds the value v of a request of the entry e to its average.
func (b *EntryAverages[T]) Observe(e lavenderridge.EntryID, v T) {
	p, o := b.entries.Load(e)
	if !o {
		p, _ = b.entries.LoadOrStore(e, &atomic.Int64{})
	}
	n := p.(*atomic.Int64)
	if k := n.Load(); k > 0 {
		n.CompareAndSwap(k, k+(int64(v)-k)/averageWeight)
		return
	}
	n.CompareAndSwap(0, int64(v))
}

// Value returns the average of the entry e, or zero before the first request.
func (b *EntryAverages[T]) Value(e lavenderridge.EntryID) T {
	if p, o := b.entries.Load(e); o {
		return T(p.(*atomic.Int64).Load())
	}
	return 0
}
