package operator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// maxCandidates is how many clients are compared before one of them is closed.
const maxCandidates = 64

// A ClientTable holds the clients of one door. When a bound is reached, it closes the
// connection of the client that holds most and progresses least, but never one whose
// request runs. The path of an ordinary request takes no lock.
type ClientTable struct {
	limits ClientLimits
	// partner is another table whose clients' bodies come out of the same budget, or nil.
	partner *ClientTable
	// onLimit is called when a client was refused or closed.
	onLimit         func()
	used            atomic.Int64 // bytes
	refused, closed atomic.Int64

	mutex     sync.Mutex
	clients   map[*Client]struct{}
	addresses map[string]int
}

// NewClientTable returns a table with the limits l. It calls f, which must not wait,
// whenever a client is refused or closed for a limit.
func NewClientTable(l ClientLimits, f func()) *ClientTable {
	if f == nil {
		f = func() {}
	}
	return &ClientTable{limits: l, onLimit: f, clients: make(map[*Client]struct{}), addresses: make(map[string]int)}
}

// Pair makes l and o partners. It must be called before there are clients.
func (l *ClientTable) Pair(o *ClientTable) {
	l.partner, o.partner = o, l
}

// Enter adds the connection of a client from the address a at the time t. It returns nil
// if there is no room and none can be made. The function f closes the connection.
func (l *ClientTable) Enter(a string, t time.Time, f func()) *Client {
	c := &Client{table: l, address: a, close: f}
	c.Progress(t)
	l.mutex.Lock()
	var v *Client
	o := true
	if n := int(l.limits.AddressConnections); n > 0 && l.addresses[a] >= n {
		v = l.worst(t, func(c *Client) bool { return c.address == a })
		o = v != nil
	} else if n := int(l.limits.Connections); n > 0 && len(l.clients) >= n {
		v = l.worst(t, nil)
		o = v != nil
	}
	if v != nil {
		l.remove(v)
	}
	if o {
		l.clients[c] = struct{}{}
		l.addresses[a]++
	}
	l.mutex.Unlock()
	if !o {
		l.refused.Add(1)
		l.report()
		return nil
	}
	if v != nil {
		l.end(v)
	}
	return c
}

// Connections returns the number of open connections.
func (l *ClientTable) Connections() lavenderridge.Connections {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return lavenderridge.Connections(len(l.clients))
}

// Used returns the memory that heads and messages hold.
func (l *ClientTable) Used() lavenderridge.ByteCount {
	return lavenderridge.ByteCount(l.used.Load())
}

// Refused returns how many connections and requests were refused, and Closed how many
// connections were closed, for a limit.
func (l *ClientTable) Refused() int64 {
	return l.refused.Load()
}

// Closed is described at Refused.
func (l *ClientTable) Closed() int64 {
	return l.closed.Load()
}

// CountRefusal counts a head above its limits.
func (l *ClientTable) CountRefusal() {
	l.refused.Add(1)
	l.report()
}

func (l *ClientTable) report() {
	l.onLimit()
}

// makeRoom closes clients until the memory is within its limit at the time t. It reports
// false if it can't.
func (l *ClientTable) makeRoom(t time.Time) bool {
	m := int64(l.limits.Memory)
	if m == 0 || l.used.Load() <= m {
		return true
	}
	for l.used.Load() > m {
		if l.closeWorst(t, func(c *Client) bool { return c.held.Load() > 0 }) == nil {
			return false
		}
	}
	return true
}

// relieve closes clients with stopped bodies until these have n bytes.
func (l *ClientTable) relieve(n int64, t time.Time) bool {
	o := false
	for _, a := range []*ClientTable{l, l.partner} {
		for a != nil && n > 0 {
			v := a.closeWorst(t, func(c *Client) bool { return c.body.Load() > 0 })
			if v == nil {
				break
			}
			o, n = true, n-max(v.body.Load(), 1)
		}
	}
	return o
}

// closeWorst closes the client that is worst of those for which f is true, and returns it,
// or nil if there is none.
func (l *ClientTable) closeWorst(t time.Time, f func(c *Client) bool) *Client {
	l.mutex.Lock()
	v := l.worst(t, f)
	if v != nil {
		l.remove(v)
	}
	l.mutex.Unlock()
	if v != nil {
		l.end(v)
	}
	return v
}

// worst returns the client with the greatest cost at the time t of those for which f is
// true, or nil. It looks at maxCandidates that may be closed. The caller holds the lock.
func (l *ClientTable) worst(t time.Time, f func(c *Client) bool) *Client {
	var w *Client
	var m float64
	n := 0
	for c := range l.clients {
		if f != nil && !f(c) {
			continue
		}
		v := c.cost(t)
		if v > m {
			w, m = c, v
		}
		if v > 0 {
			n++
		}
		if n == maxCandidates {
			break
		}
	}
	return w
}

// remove removes the client c. The caller holds the lock.
func (l *ClientTable) remove(c *Client) {
	if _, o := l.clients[c]; !o {
		return
	}
	delete(l.clients, c)
	if l.addresses[c.address]--; l.addresses[c.address] == 0 {
		delete(l.addresses, c.address)
	}
}

// end gives back what the removed client c holds and closes its connection.
func (l *ClientTable) end(c *Client) {
	c.gone.Store(true)
	c.Release(lavenderridge.ByteCount(c.held.Load()))
	l.closed.Add(1)
	l.report()
	c.close()
}

func (l *ClientTable) leave(c *Client) {
	l.mutex.Lock()
	l.remove(c)
	l.mutex.Unlock()
	c.gone.Store(true)
	c.Release(lavenderridge.ByteCount(c.held.Load()))
}
