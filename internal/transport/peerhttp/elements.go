package peerhttp

import (
	"encoding/binary"

	"github.com/lavenderridge/lavenderridge"
)

// elementMemory is what an element of a message takes when it is decoded. An element of
// one byte may stand for a whole record.
const elementMemory = 96

// Parts of the first byte of a CBOR element.
const (
	majorShift   = 5
	argumentMask = 0x1f
	majorBytes   = 2
	majorText    = 3
	firstLong    = 24 // the argument is in the 1, 2, 4 or 8 bytes that follow
	lastLong     = 27
)

// decodedMemory returns what the message b takes when it is decoded, beyond its bytes.
// It counts the elements without decoding them; the decoder rejects a message that is not
// well-formed.
func decodedMemory(b []byte) lavenderridge.ByteCount {
	n := lavenderridge.ByteCount(0)
	for len(b) > 0 {
		n++
		m, a := b[0]>>majorShift, uint64(b[0]&argumentMask)
		b = b[1:]
		if a >= firstLong && a <= lastLong {
			k := 1 << (a - firstLong)
			if len(b) < k {
				break
			}
			var v [8]byte
			copy(v[8-k:], b)
			a, b = binary.BigEndian.Uint64(v[:]), b[k:]
		}
		if m == majorBytes || m == majorText {
			if a > uint64(len(b)) {
				break
			}
			b = b[a:]
		}
	}
	return n * elementMemory
}
