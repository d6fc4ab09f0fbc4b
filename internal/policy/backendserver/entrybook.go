package backendserver

import (
	"sync"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// bookWeight is the number of requests over which a value is averaged.
const bookWeight = 16

// An EntryBook holds the moving average of what the requests of each entry
// take, as their times or the sizes of their responses. Concurrent samples may
// be lost.
type EntryBook[T ~int64] struct {
	entries sync.Map // of lavenderridge.EntryID to *atomic.Int64
}

// Learn takes in that a request of the entry e took v.
func (b *EntryBook[T]) Learn(e lavenderridge.EntryID, v T) {
	p, o := b.entries.Load(e)
	if !o {
		p, _ = b.entries.LoadOrStore(e, &atomic.Int64{})
	}
	n := p.(*atomic.Int64)
	if k := n.Load(); k > 0 {
		n.CompareAndSwap(k, k+(int64(v)-k)/bookWeight)
		return
	}
	n.CompareAndSwap(0, int64(v))
}

// Value returns the average of the entry e, or zero before the first request.
func (b *EntryBook[T]) Value(e lavenderridge.EntryID) T {
	if p, o := b.entries.Load(e); o {
		return T(p.(*atomic.Int64).Load())
	}
	return 0
}
