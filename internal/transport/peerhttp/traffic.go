package peerhttp

import (
	"sync/atomic"

	"github.com/lavenderridge/lavenderridge"
)

// Traffic counts the calls that a transport made and the bytes that it sent.
type Traffic struct {
	// calls and payload, in bytes, are indexed by the kind of the call.
	calls     [kindBorrow + 1]atomic.Int64
	payload   [kindBorrow + 1]atomic.Int64
	bytesSent atomic.Int64
	writes    atomic.Int64
}

// Traffic returns the transport's traffic counters.
func (t *Transport) Traffic() *Traffic {
	return &t.traffic
}

// countCall counts a call that this daemon made, with a message of q bytes and a
// reply of p bytes.
func (c *Traffic) countCall(k kind, q, p int) {
	if int(k) < len(c.calls) {
		c.calls[k].Add(1)
		c.payload[k].Add(int64(q + p))
	}
}

// Exchanges returns the number of exchanges that this daemon began and the bytes
// of their requests and replies.
func (c *Traffic) Exchanges() (int64, lavenderridge.ByteCount) {
	return c.calls[kindExchange].Load(), lavenderridge.ByteCount(c.payload[kindExchange].Load())
}

// Pulls returns the number of pull requests that this daemon sent and the bytes
// of the requests and their replies.
func (c *Traffic) Pulls() (int64, lavenderridge.ByteCount) {
	return c.calls[kindPull].Load(), lavenderridge.ByteCount(c.payload[kindPull].Load())
}

// Activations returns the number of activation requests that this daemon sent
// and the bytes of the requests and their replies.
func (c *Traffic) Activations() (int64, lavenderridge.ByteCount) {
	return c.calls[kindActivate].Load(), lavenderridge.ByteCount(c.payload[kindActivate].Load())
}

// Loans returns the number of requests for loans that this daemon sent and the bytes of
// the requests and their replies.
func (c *Traffic) Loans() (int64, lavenderridge.ByteCount) {
	return c.calls[kindBorrow].Load(), lavenderridge.ByteCount(c.payload[kindBorrow].Load())
}

// Sent returns the bytes written to all connections, without TCP and IP headers,
// and the number of write calls.
func (c *Traffic) Sent() (lavenderridge.ByteCount, int64) {
	return lavenderridge.ByteCount(c.bytesSent.Load()), c.writes.Load()
}
