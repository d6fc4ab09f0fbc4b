package backendserver

import (
	"sync"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// entryValues holds a number for each entry.
type entryValues[T ~int64] struct {
	entries sync.Map // of lavenderridge.EntryID to *atomic.Int64
}

// of returns the number of the entry e, which is zero at first.
func (b *entryValues[T]) of(e lavenderridge.EntryID) *atomic.Int64 {
	p, o := b.entries.Load(e)
	if !o {
		p, _ = b.entries.LoadOrStore(e, &atomic.Int64{})
	}
	return p.(*atomic.Int64)
}

// Value returns the number of the entry e, or zero before its first request.
func (b *entryValues[T]) Value(e lavenderridge.EntryID) T {
	if p, o := b.entries.Load(e); o {
		return T(p.(*atomic.Int64).Load())
	}
	return 0
}
