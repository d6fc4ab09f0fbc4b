package lavenderridge_test

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// peerCrowds are the kinds of crowds at the door between daemons, which anyone on the
// network can reach.
var peerCrowds = map[string]func(n net.Conn, i int){
	"silent":      func(net.Conn, int) {},
	"half-hello":  func(n net.Conn, _ int) { _, _ = n.Write([]byte{22, 3, 1, 2, 0, 1, 0, 1, 252, 3, 3}) },
	"large-hello": func(n net.Conn, _ int) { endless(n, "\x16\x03\x01\x40\x00\x01\x00\xff\xfc\x03\x03", "aaaaaaaa") },
	"plain":       func(n net.Conn, _ int) { endless(n, "GET / HTTP/1.1\r\n", "x: y\r\n") },
	// Heads of HTTP/1 inside the encryption, with many short fields.
	"older-protocol": func(n net.Conn, _ int) {
		if c := newTLS(n, "http/1.1"); c != nil {
			stopShort(c, legalHead, func(j int) string { return strconv.Itoa(j) + ":\n" })
		}
	},
	// Messages with a large body that stops short.
	"bodies": func(n net.Conn, _ int) {
		f := newFrames(n)
		for s := range 20 {
			if !f.head(s, legalBody, func(h *hpack.Encoder) {
				_ = h.WriteField(hpack.HeaderField{Name: "lavenderridge-body", Value: strconv.Itoa(legalBody - 100)})
			}) || !f.data(s, 16<<10) {
				return
			}
		}
	},
	"handshake": func(n net.Conn, _ int) { newFrames(n) },
	// Streams with a message that stops short.
	"streams": func(n net.Conn, _ int) {
		f := newFrames(n)
		for s := range 200 {
			if !f.head(s, 1<<20, nil) || !f.data(s, 16<<10) {
				return
			}
		}
	},
	// Heads whose fields cost one byte each on the wire.
	"indexed-fields": func(n net.Conn, _ int) {
		f := newFrames(n)
		for s := range 100 {
			if !f.head(s, 1<<20, func(h *hpack.Encoder) {
				for range 20000 {
					_ = h.WriteField(hpack.HeaderField{Name: "a", Value: "b"})
				}
			}) {
				return
			}
		}
	},
	"many-fields": func(n net.Conn, _ int) {
		f := newFrames(n)
		for s := range 50 {
			if !f.head(s, 1<<20, func(h *hpack.Encoder) {
				for j := range 15000 {
					_ = h.WriteField(hpack.HeaderField{Name: strconv.Itoa(j), Value: "", Sensitive: true})
				}
			}) {
				return
			}
		}
	},
	"tables": func(n net.Conn, _ int) {
		f := newFrames(n)
		for s := range 50 {
			if !f.head(s, 1<<20, func(h *hpack.Encoder) {
				h.SetMaxDynamicTableSize(4096)
				for j := range 100 {
					_ = h.WriteField(hpack.HeaderField{Name: strconv.Itoa(j), Value: strings.Repeat("v", 3000)})
				}
			}) {
				return
			}
		}
	},
	"continuations": func(n net.Conn, _ int) {
		f := newFrames(n)
		if f == nil || f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: f.block(1<<20, nil)}) != nil {
			return
		}
		b := bytes.Repeat([]byte{0x10, 1, 'a', 1, 'b'}, 1000)
		for f.WriteContinuation(1, false, b) == nil {
			time.Sleep(time.Millisecond)
		}
	},
	"settings": func(n net.Conn, _ int) {
		f := newFrames(n)
		for f != nil && f.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}) == nil {
			time.Sleep(100 * time.Microsecond)
		}
	},
	"pings": func(n net.Conn, _ int) {
		f := newFrames(n)
		for f != nil && f.WritePing(false, [8]byte{}) == nil {
			time.Sleep(100 * time.Microsecond)
		}
	},
	"resets": func(n net.Conn, _ int) {
		f := newFrames(n)
		for s := 0; f.head(s, 1<<20, nil) && f.WriteRSTStream(uint32(2*s+1), http2.ErrCodeCancel) == nil; s++ {
			time.Sleep(100 * time.Microsecond)
		}
	},
	// Windows that never open for the replies.
	"windows": func(n net.Conn, _ int) {
		f := newFrames(n)
		if f == nil || f.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}) != nil {
			return
		}
		for s := range 200 {
			if !f.head(s, 1, nil) || f.WriteData(uint32(2*s+1), true, []byte{99}) != nil {
				return
			}
		}
	},
}

// frames writes HTTP/2 frames that no client of the library would write.
type frames struct {
	*http2.Framer
	buffer  bytes.Buffer
	encoder *hpack.Encoder
}

// newTLS does the handshake for the protocol a on n, with a certificate that anyone can
// make. It returns nil if that fails.
func newTLS(n net.Conn, a string) *tls.Conn {
	k, e := peertls.NewEphemeralKeys(peertls.Identity{Instance: "stranger", DataCentre: "elsewhere"}, time.Now())
	if e != nil {
		return nil
	}
	f := k.ClientConfig(a, "roster-0")
	if a != http2.NextProtoTLS {
		f.NextProtos = nil
	}
	c := tls.Client(n, f)
	_ = n.SetDeadline(time.Now().Add(10 * time.Second))
	if e := c.Handshake(); e != nil {
		return nil
	}
	_ = n.SetDeadline(time.Time{})
	return c
}

// newFrames does the handshake on n and returns the frames that follow, or nil if that
// fails. Nobody reads what the daemon sends.
func newFrames(n net.Conn) *frames {
	c := newTLS(n, http2.NextProtoTLS)
	if c == nil {
		return nil
	}
	if _, e := io.WriteString(c, http2.ClientPreface); e != nil {
		return nil
	}
	f := &frames{Framer: http2.NewFramer(c, c)}
	f.encoder = hpack.NewEncoder(&f.buffer)
	if f.WriteSettings() != nil {
		return nil
	}
	return f
}

// block returns a header block of a call of m bytes with the fields that w writes.
func (f *frames) block(m int, w func(h *hpack.Encoder)) []byte {
	f.buffer.Reset()
	for _, v := range [][2]string{{":method", "POST"}, {":scheme", "https"}, {":authority", "daemon"}, {":path", "/"}, {"content-length", strconv.Itoa(m)}} {
		_ = f.encoder.WriteField(hpack.HeaderField{Name: v[0], Value: v[1]})
	}
	if w != nil {
		w(f.encoder)
	}
	return f.buffer.Bytes()
}

// head opens the stream with the index s for a call of m bytes and the fields that w
// writes. It reports whether that was possible.
func (f *frames) head(s, m int, w func(h *hpack.Encoder)) bool {
	if f == nil {
		return false
	}
	b, x := f.block(m, w), uint32(2*s+1)
	for i := 0; ; i++ {
		k := min(len(b), 16<<10)
		var e error
		if i == 0 {
			e = f.WriteHeaders(http2.HeadersFrameParam{StreamID: x, BlockFragment: b[:k], EndHeaders: k == len(b)})
		} else {
			e = f.WriteContinuation(x, k == len(b), b[:k])
		}
		if e != nil {
			return false
		}
		if b = b[k:]; len(b) == 0 {
			return true
		}
	}
}

// data sends k bytes on the stream with the index s.
func (f *frames) data(s, k int) bool {
	return f.WriteData(uint32(2*s+1), false, make([]byte, k)) == nil
}
