package backendserver

import "github.com/lavenderridge/lavenderridge"

// averageWeight is the number of requests over which a value is averaged.
const averageWeight = 16

// EntryAverages holds a moving average for each entry, such as of the duration
// of its requests or of the size of their responses. Concurrent samples may be
// lost.
type EntryAverages[T ~int64] struct {
	entryValues[T]
}

// Observe adds the value v of a request of the entry e to its average.
func (b *EntryAverages[T]) Observe(e lavenderridge.EntryID, v T) {
	n := b.of(e)
	if k := n.Load(); k > 0 {
		n.CompareAndSwap(k, k+(int64(v)-k)/averageWeight)
		return
	}
	n.CompareAndSwap(0, int64(v))
}
