package operator

import (
	"bytes"

	"github.com/lavenderridge/lavenderridge"
)

// What a head takes in memory, by its lines and its bytes on the wire. The library keeps
// an entry of a map, a name and a list of values for each line.
const (
	fieldMemory     = lavenderridge.ByteCount(192)
	headByteFactor  = 2
	usualFields     = 64
	usualHeadBytes  = 4 * lavenderridge.Kibibyte
	usualHeadMemory = usualFields*fieldMemory + headByteFactor*usualHeadBytes
)

// A HeadMeter counts the lines of the head of a request while it arrives.
type HeadMeter struct {
	bytes lavenderridge.ByteCount
	// lines is the number of lines that aren't empty, of which the first is the request line.
	lines int
	// partial is the length of the line that has begun, and lone means that it is a
	// carriage return alone.
	partial int
	lone    bool
	ended   bool
}

// Reset begins the next head.
func (m *HeadMeter) Reset() {
	*m = HeadMeter{}
}

// Add counts the bytes b that have arrived and reports whether the head has ended.
func (m *HeadMeter) Add(b []byte) bool {
	for len(b) > 0 && !m.ended {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			m.lone = m.partial == 0 && len(b) == 1 && b[0] == '\r'
			m.partial += len(b)
			m.bytes += lavenderridge.ByteCount(len(b))
			return false
		}
		switch {
		case m.partial == 0 && (i == 0 || i == 1 && b[0] == '\r'), m.lone && i == 0:
			m.ended = m.lines > 0
		default:
			m.lines++
		}
		m.bytes += lavenderridge.ByteCount(i + 1)
		m.partial, m.lone = 0, false
		b = b[i+1:]
	}
	return m.ended
}

// Exceeds reports whether the head is above the limits l, of which a zero stands for no
// bound.
func (m *HeadMeter) Exceeds(l HeadLimits) bool {
	return l.Bytes > 0 && m.bytes > l.Bytes || l.Fields > 0 && m.lines-1 > l.Fields
}

// Memory returns what the head takes beyond that of a usual request.
func (m *HeadMeter) Memory() lavenderridge.ByteCount {
	return max(0, lavenderridge.ByteCount(m.lines)*fieldMemory+headByteFactor*m.bytes-usualHeadMemory)
}
