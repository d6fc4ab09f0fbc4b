package backendserver

import "github.com/lavenderridge/lavenderridge"

const (
	// quantileStep is the relative change of an estimate after a sample above it.
	quantileStep = 0.09
	// quantileShare is the share of the samples below the estimate.
	quantileShare = 0.9
)

// EntryQuantiles estimates the ninth decile of a value for each entry, such as of the
// duration of its requests. Each sample moves the estimate by a small step, so that no
// samples are kept. Concurrent samples may be lost.
type EntryQuantiles[T ~int64] struct {
	entryValues[T]
}

// Observe moves the estimate of the entry e towards the value v.
func (b *EntryQuantiles[T]) Observe(e lavenderridge.EntryID, v T) {
	n := b.of(e)
	k := n.Load()
	switch {
	case k == 0:
		n.CompareAndSwap(0, int64(v))
	case int64(v) > k:
		n.CompareAndSwap(k, k+int64(float64(k)*quantileStep)+1)
	default:
		n.CompareAndSwap(k, k-int64(float64(k)*quantileStep*(1-quantileShare)/quantileShare))
	}
}
