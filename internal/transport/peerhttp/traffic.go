package peerhttp

import (
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// Traffic counts what a transport carried.
type Traffic struct {
	calls   [kindHandOver + 1]atomic.Int64
	payload [kindHandOver + 1]atomic.Int64
	sent    atomic.Int64
	writes  atomic.Int64
}

// Traffic returns the traffic of the transport.
func (t *Transport) Traffic() *Traffic {
	return &t.traffic
}

// call counts one call that this daemon made.
func (c *Traffic) call(k kind, q, p int) {
	if int(k) < len(c.calls) {
		c.calls[k].Add(1)
		c.payload[k].Add(int64(q + p))
	}
}

// Exchanges returns the number of exchanges that this daemon asked for and the
// bytes of their questions and replies.
func (c *Traffic) Exchanges() (int64, lavenderridge.ByteCount) {
	return c.calls[kindExchange].Load(), lavenderridge.ByteCount(c.payload[kindExchange].Load())
}

// Pulls returns the number of pulls that this daemon asked for and the bytes
// of their questions and replies.
func (c *Traffic) Pulls() (int64, lavenderridge.ByteCount) {
	return c.calls[kindPull].Load(), lavenderridge.ByteCount(c.payload[kindPull].Load())
}

// Activations returns the number of activation requests that this daemon sent
// and the bytes of the requests and their replies.
func (c *Traffic) Activations() (int64, lavenderridge.ByteCount) {
	return c.calls[kindActivate].Load(), lavenderridge.ByteCount(c.payload[kindActivate].Load())
}

// Sent returns the bytes written to all connections, without the headers of TCP
// and IP, and the number of write calls.
func (c *Traffic) Sent() (lavenderridge.ByteCount, int64) {
	return lavenderridge.ByteCount(c.sent.Load()), c.writes.Load()
}
