package plainhttp

import (
	"errors"
	"io"

	"github.com/lavenderridge/lavenderridge"
)

// firstBuffer is the size of the first buffer for a body of unknown size.
const firstBuffer = 32 * lavenderridge.Kibibyte

// ErrBodyTooLarge is the error for a body above its limit.
var ErrBodyTooLarge = errors.New("plainhttp: the body is too large")

// ReadBody returns the whole body r of at most m bytes. Its announced size n in bytes is
// negative if there is none. Before a buffer is allocated, the function f is called with
// its size; an error of f ends the reading. The buffer for a body of unknown size doubles
// up to j bytes and then has m bytes, so that a large body needs little more than it has.
func ReadBody(r io.Reader, n int64, m, j lavenderridge.ByteCount, f func(lavenderridge.ByteCount) error) ([]byte, error) {
	switch {
	case n > int64(m):
		return nil, ErrBodyTooLarge
	case n == 0:
		return []byte{}, nil
	}
	a := lavenderridge.ByteCount(n)
	if n < 0 {
		a = min(firstBuffer, m)
	}
	var d []byte
	for {
		if e := f(a); e != nil {
			return nil, e
		}
		// One byte more than the body may have, because only a further read shows its
		// end.
		d = append(make([]byte, 0, a+1), d...)
		var e error
		if d, e = fill(d, r); !errors.Is(e, errFull) {
			return d, e
		}
		if a == m || n >= 0 {
			return nil, ErrBodyTooLarge
		}
		if a = min(2*a, m); a > j {
			a = m
		}
	}
}

// errFull is the error of fill if the buffer is full.
var errFull = errors.New("plainhttp: the buffer is full")

// fill reads into the rest of the buffer d until r ends.
func fill(d []byte, r io.Reader) ([]byte, error) {
	for len(d) < cap(d) {
		k, e := r.Read(d[len(d):cap(d)])
		d = d[:len(d)+k]
		if errors.Is(e, io.EOF) {
			return d, nil
		}
		if e != nil {
			return nil, e
		}
	}
	return d, errFull
}
