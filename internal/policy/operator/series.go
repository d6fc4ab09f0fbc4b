package operator

import (
	"sync/atomic"
	"time"
)

// binCount is the number of bins: one for each minute of the longest window and
// one for the current minute.
const binCount = int64(6*time.Hour/time.Minute) + 1

// A Series counts the requests of one entry in one data centre in each minute of
// the longest window. Its methods may be called concurrently and do not block.
type Series struct {
	bins [binCount]atomic.Pointer[bin]
}

// bin counts the requests of one minute.
type bin struct {
	minute int64
	good   atomic.Uint64
	bad    atomic.Uint64
}

// Add counts a request that ended at the time t; g is true if it met its
// objective. A request older than the longest window counts in no window.
func (s *Series) Add(t time.Time, g bool) {
	b := s.bin(minuteOf(t))
	switch {
	case b == nil:
	case g:
		b.good.Add(1)
	default:
		b.bad.Add(1)
	}
}

// bin returns the bin of the minute m, or nil if its place is used by a later
// minute.
func (s *Series) bin(m int64) *bin {
	p := &s.bins[(m%binCount+binCount)%binCount]
	for {
		b := p.Load()
		switch {
		case b != nil && b.minute == m:
			return b
		case b != nil && b.minute > m:
			return nil
		}
		n := &bin{minute: m}
		if p.CompareAndSwap(b, n) {
			return n
		}
	}
}

// Counts returns the counts of each window that ends at the time t. A window
// consists of the current minute and the full minutes before it.
func (s *Series) Counts(t time.Time) [windowCount]Counts {
	var c [windowCount]Counts
	m := minuteOf(t)
	for i := range s.bins {
		b := s.bins[i].Load()
		if b == nil || b.minute > m {
			continue
		}
		n := Counts{Good: b.good.Load(), Bad: b.bad.Load()}
		for w := range c {
			if m-b.minute < int64(windowDurations[w]/time.Minute) {
				c[w] = c[w].Add(n)
			}
		}
	}
	return c
}

func minuteOf(t time.Time) int64 {
	return t.Unix() / int64(time.Minute/time.Second)
}
