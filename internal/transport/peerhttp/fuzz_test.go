package peerhttp

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/lavenderridge/lavenderridge"
)

// FuzzReceive guards against messages that are read wrongly, or whose buffers are larger
// than what was asked for.
func FuzzReceive(f *testing.F) {
	f.Add([]byte("message"), int64(7), int64(100))
	f.Add([]byte("message"), int64(-1), int64(7))
	f.Add([]byte("message"), int64(3), int64(100))
	f.Add([]byte("message"), int64(1<<40), int64(1<<20))
	f.Add(bytes.Repeat([]byte("x"), 20000), int64(-1), int64(20000))
	f.Add(bytes.Repeat([]byte("x"), 20001), int64(20000), int64(20000))
	f.Add([]byte{}, int64(0), int64(0))
	f.Fuzz(func(t *testing.T, b []byte, n, m int64) {
		if m < 0 || m > 1<<20 || n > 1<<20 && n <= m {
			return
		}
		a := smallMessage + 1
		v, e := receive(iotest.HalfReader(bytes.NewReader(b)), n, lavenderridge.ByteCount(m), func(k lavenderridge.ByteCount) error {
			a += k
			return nil
		})
		if e != nil {
			if o := len(b) > 0 && int64(len(b)) <= m && (n < 0 || n == int64(len(b))); o {
				t.Errorf("%d bytes, announced %d, at most %d: %v", len(b), n, m, e)
			}
			return
		}
		if !bytes.Equal(v, b) || int64(len(b)) > m {
			t.Errorf("%d of %d bytes, at most %d", len(v), len(b), m)
		}
		if lavenderridge.ByteCount(cap(v)) > a {
			t.Errorf("a buffer of %d bytes; %d were asked for", cap(v), a)
		}
	})
}

// FuzzMessages guards against calls of a stranger that end the daemon, or that need far
// more memory than they have bytes.
func FuzzMessages(f *testing.F) {
	for _, v := range []any{
		&wireRequest{ID: "r", Header: lavenderridge.Header{"A": {"b", "c"}}, Body: []byte("body")},
		&lavenderridge.Exchange{}, &lavenderridge.PullRequest{}, &lavenderridge.ActivationRequest{}, &wireHandOver{},
	} {
		b, e := encode(byte(kindHandle), v)
		if e != nil {
			f.Fatal(e)
		}
		f.Add(b[1:])
	}
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(bytes.Repeat([]byte{0x81}, 1000))
	f.Fuzz(func(_ *testing.T, b []byte) {
		for _, v := range []any{
			&wireRequest{}, &lavenderridge.Exchange{}, &lavenderridge.PullRequest{}, &lavenderridge.ActivationRequest{}, &wireHandOver{},
		} {
			_ = decode(b, v)
		}
	})
}

// FuzzDecodedMemory guards against messages that take more memory than was counted.
func FuzzDecodedMemory(f *testing.F) {
	f.Add([]byte{0x83, 0x01, 0x61, 'a', 0xa0})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x5a, 0, 0, 0, 1, 0, 0xf9, 1, 2, 0xc1, 0x20})
	f.Add(append([]byte{0x98, 200}, bytes.Repeat([]byte{0xa0}, 200)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		var v any
		if cborDecoder.Unmarshal(b, &v) != nil {
			return
		}
		if n, m := elements(v), decodedMemory(b)/elementMemory; n > int(m) {
			t.Errorf("%d elements; counted %d", n, m)
		}
	})
}

// elements returns the number of elements of v.
func elements(v any) int {
	n := 1
	switch x := v.(type) {
	case []any:
		for _, e := range x {
			n += elements(e)
		}
	case map[any]any:
		for k, e := range x {
			n += elements(k) + elements(e)
		}
	}
	return n
}
