package backendhttp

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// firstBodyBuffer is the size of the first buffer for a response body.
const firstBodyBuffer = 32 * lavenderridge.Kibibyte

var (
	errBodyTooLarge = errors.New("the response body is too large")
	errNoBodyMemory = errors.New("the response bodies that are being read need too much memory")
)

// A bodyBudget bounds the memory of the response bodies that are being read at the
// same time. Zero stands for no bound.
type bodyBudget struct {
	limit lavenderridge.ByteCount
	used  atomic.Int64 // bytes
}

// read returns the whole body r of at most m bytes. Its announced length n is negative
// if there is none. The buffer grows as bytes arrive, so that an announced length
// alone takes no memory.
func (b *bodyBudget) read(r io.Reader, n int64, m lavenderridge.ByteCount) ([]byte, error) {
	if n < 0 || n > int64(m) {
		n = int64(m)
	}
	// One byte more than the body may have, because only a further read shows its end.
	a := int(n) + 1
	var d []byte
	defer func() { b.used.Add(-int64(cap(d))) }()
	for {
		if len(d) == cap(d) {
			g, e := b.grow(d, min(a, max(int(firstBodyBuffer), 2*cap(d))))
			if e != nil {
				return nil, e
			}
			d = g
		}
		k, e := r.Read(d[len(d):cap(d)])
		d = d[:len(d)+k]
		switch {
		case len(d) == a:
			return nil, errBodyTooLarge
		case errors.Is(e, io.EOF):
			return d, nil
		case e != nil:
			return nil, e
		}
	}
}

// grow returns a buffer of n bytes with the contents of d, whose memory it takes out
// of the budget.
func (b *bodyBudget) grow(d []byte, n int) ([]byte, error) {
	if b.used.Add(int64(n)) > int64(b.limit) && b.limit > 0 {
		b.used.Add(-int64(n))
		return nil, errNoBodyMemory
	}
	b.used.Add(-int64(cap(d)))
	return append(make([]byte, 0, n), d...), nil
}
