package peerquic

import (
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// Traffic counts what a transport carried.
type Traffic struct {
	calls   [kindHandOver + 1]atomic.Int64
	payload [kindHandOver + 1]atomic.Int64
	sent    atomic.Int64
	packets atomic.Int64
}

// Traffic returns the counts of what the transport carried.
func (t *Transport) Traffic() *Traffic {
	return &t.traffic
}

// call counts one call that this daemon made.
func (f *Traffic) call(k kind, q, p int) {
	if int(k) < len(f.calls) {
		f.calls[k].Add(1)
		f.payload[k].Add(int64(q + p))
	}
}

// Exchanges returns the number of exchanges that this daemon asked for and the
// bytes of their questions and replies.
func (f *Traffic) Exchanges() (int64, lavenderridge.ByteCount) {
	return f.calls[kindExchange].Load(), lavenderridge.ByteCount(f.payload[kindExchange].Load())
}

// Pulls returns the number of pulls that this daemon asked for and the bytes
// of their questions and replies.
func (f *Traffic) Pulls() (int64, lavenderridge.ByteCount) {
	return f.calls[kindPull].Load(), lavenderridge.ByteCount(f.payload[kindPull].Load())
}

// Datagrams returns the bytes of all UDP payloads sent and the number of write
// calls, each of which may carry several packets.
func (f *Traffic) Datagrams() (lavenderridge.ByteCount, int64) {
	return lavenderridge.ByteCount(f.sent.Load()), f.packets.Load()
}
