package operator

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// minStall is the time without progress from which a connection may be closed for
	// another one.
	minStall = 100 * time.Millisecond
	// bodyStall is that time for the connection of a client who sends a body, and
	// deliveryStall that of one who reads a response.
	bodyStall     = 2 * time.Second
	deliveryStall = 5 * time.Second
	// servedStall is that time for a client who has been served before.
	servedStall = time.Second
	// maxUntaken is how many answers may be handed to a connection until the client is
	// seen to take them.
	maxUntaken = 8
	// servedFactor is how much less a client counts who has been served before.
	servedFactor = 8
	// clientMemory is what any connection counts.
	clientMemory = 24 * lavenderridge.Kibibyte
)

// A Client is what one connection makes the daemon hold. It is safe for concurrent use. A
// nil Client has no bound.
type Client struct {
	table   *ClientTable
	address string
	close   func()

	// progressed is when the client last sent or took something, in Unix nanoseconds.
	progressed atomic.Int64
	// held and body are the bytes of heads and messages, and of a body that arrives.
	held, body atomic.Int64
	// running is the number of requests that have arrived whole and aren't answered, and
	// delivering that of those whose response is being written.
	running, delivering atomic.Int32
	// untaken is the number of answers since the client was last seen to take one.
	untaken atomic.Int32
	served  atomic.Bool
	gone    atomic.Bool
	// finished is true once the connection only waits for its end.
	finished atomic.Bool
}

// Progress notes that the client has sent or taken something at the time t.
func (c *Client) Progress(t time.Time) {
	if c != nil {
		c.progressed.Store(t.UnixNano())
	}
}

// Hold takes n bytes more at the time t. If there are too few, it closes those clients
// that hold most and progress least. It reports false, and takes nothing, if that doesn't
// suffice.
func (c *Client) Hold(n lavenderridge.ByteCount, t time.Time) bool {
	if c == nil || n <= 0 {
		return true
	}
	c.held.Add(int64(n))
	c.table.used.Add(int64(n))
	o := c.table.makeRoom(t)
	if c.gone.Load() {
		c.Release(n)
		return false
	}
	if !o {
		c.Release(n)
		c.table.refused.Add(1)
		c.table.report()
	}
	return o
}

// Release gives n bytes back.
func (c *Client) Release(n lavenderridge.ByteCount) {
	if c == nil {
		return
	}
	for {
		v := c.held.Load()
		k := min(v, int64(n))
		if c.held.CompareAndSwap(v, v-k) {
			c.table.used.Add(-k)
			return
		}
	}
}

// Begin notes that a request has arrived whole, and End that it has been answered.
func (c *Client) Begin() {
	if c != nil {
		c.running.Add(1)
	}
}

// End is the counterpart of Begin.
func (c *Client) End() {
	if c != nil {
		c.running.Add(-1)
	}
}

// Deliver notes that a request has run and its response is being written, from the time
// t. Delivered must be called before End.
func (c *Client) Deliver(t time.Time) {
	if c != nil {
		c.Progress(t)
		c.delivering.Add(1)
	}
}

// Delivered is the counterpart of Deliver.
func (c *Client) Delivered() {
	if c != nil {
		c.delivering.Add(-1)
	}
}

// Served notes that the client has taken a whole answer at the time t.
func (c *Client) Served(t time.Time) {
	if c != nil {
		c.Progress(t)
		c.served.Store(true)
	}
}

// Answered notes that an answer has been handed to the connection, which may hold it
// until the client takes it. It reports whether the client must take it before anything
// else is given to it, since it has not been seen to take the latest ones.
func (c *Client) Answered() bool {
	return c != nil && c.untaken.Add(1) > maxUntaken
}

// Taken notes that the client has taken its answers by the time t.
func (c *Client) Taken(t time.Time) {
	if c != nil && c.untaken.Swap(0) > 0 {
		c.Served(t)
	}
}

// ReceiveBody notes that n bytes are reserved for a body that arrives, and EndBody that
// they no longer are, or that the body has arrived.
func (c *Client) ReceiveBody(n lavenderridge.ByteCount) {
	if c != nil {
		c.body.Add(int64(n))
	}
}

// EndBody is the counterpart of ReceiveBody.
func (c *Client) EndBody(n lavenderridge.ByteCount) {
	if c != nil {
		c.body.Add(-int64(n))
	}
}

// ReceivesBody reports whether a body arrives.
func (c *Client) ReceivesBody() bool {
	return c != nil && c.body.Load() > 0
}

// Relieve closes clients whose bodies have stopped at the time t, until their bodies have
// n bytes, also those of the partner of the table. It reports whether there was one.
func (c *Client) Relieve(n lavenderridge.ByteCount, t time.Time) bool {
	return c != nil && c.table.relieve(int64(n), t)
}

// Finish gives back what the client holds, because its connection only waits for its end.
func (c *Client) Finish() {
	if c != nil {
		c.finished.Store(true)
		c.Release(lavenderridge.ByteCount(c.held.Load()))
	}
}

// Leave removes the client from its table and gives back what it holds.
func (c *Client) Leave() {
	if c != nil {
		c.table.leave(c)
	}
}

// cost returns how much is gained by closing the connection of the client at the time t:
// the bytes that it holds times the seconds since its last progress. It returns zero if
// it must not be closed.
func (c *Client) cost(t time.Time) float64 {
	s, m := time.Duration(t.UnixNano()-c.progressed.Load()), minStall
	d := c.delivering.Load()
	switch {
	case c.running.Load() > d:
		return 0
	case c.finished.Load():
		// The least time is enough.
	case d > 0:
		m = deliveryStall
	case c.body.Load() > 0:
		m = bodyStall
	case c.served.Load():
		m = servedStall
	}
	if s < m {
		return 0
	}
	v := float64(int64(clientMemory)+c.held.Load()+c.body.Load()) * s.Seconds()
	if c.served.Load() && !c.finished.Load() {
		return v / servedFactor
	}
	return v
}
