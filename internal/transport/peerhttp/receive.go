package peerhttp

import (
	"errors"
	"io"

	"github.com/lavenderridge/lavenderridge"
)

var errMessage = errors.New("peerhttp: the size of the message is wrong")

// receive reads a whole message of at most m bytes. It returns an error and no bytes if
// the message is truncated, empty or longer. Its announced size n is negative if there is
// none. The buffer grows as the message arrives, since whoever sends it need not have
// what it announces; before it grows beyond smallMessage, f is called with the bytes that
// are added.
func receive(r io.Reader, n int64, m lavenderridge.ByteCount, f func(lavenderridge.ByteCount) error) ([]byte, error) {
	if n > int64(m) {
		return nil, errMessage
	}
	a := smallMessage
	if n >= 0 {
		a = min(a, lavenderridge.ByteCount(n))
	}
	// One byte more, because only a further read shows the end.
	b := make([]byte, 0, a+1)
	for {
		if len(b) == cap(b) {
			if lavenderridge.ByteCount(len(b)) > m {
				return nil, errMessage
			}
			k := grownSize(lavenderridge.ByteCount(cap(b)), n, m)
			if e := f(k - lavenderridge.ByteCount(cap(b))); e != nil {
				return nil, e
			}
			b = append(make([]byte, 0, k), b...)
		}
		k, e := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+k]
		switch {
		case errors.Is(e, io.EOF) && len(b) > 0 && lavenderridge.ByteCount(len(b)) <= m:
			return b, nil
		case errors.Is(e, io.EOF):
			return nil, errMessage
		case e != nil:
			return nil, e
		}
	}
}

// grownSize returns the size of the buffer that follows one of c bytes, for a message of
// n announced bytes, negative if there are none, and m at most.
func grownSize(c lavenderridge.ByteCount, n int64, m lavenderridge.ByteCount) lavenderridge.ByteCount {
	if n >= 0 {
		m = lavenderridge.ByteCount(n)
	}
	return max(min(4*c, m+1), c+1)
}
