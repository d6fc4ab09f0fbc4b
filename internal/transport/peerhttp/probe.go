package peerhttp

import (
	"context"
	"time"
)

const (
	checkInterval = 50 * time.Millisecond
	pingTimeout   = 200 * time.Millisecond
	// linkRetention is how long a link without running calls is kept, counted from
	// the time at which it last became busy.
	linkRetention = 10 * time.Minute
)

// probeLoop checks all links at regular intervals until c ends.
func (t *Transport) probeLoop(c context.Context) {
	k := time.NewTicker(checkInterval)
	defer k.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-k.C:
		}
		n := t.sinceStart()
		t.links.Range(func(i, v any) bool {
			t.checkLink(i, v.(*link), n)
			return true
		})
	}
}

// checkLink starts a probe of the link l if calls have been running, and its
// connection has received nothing, for longer than the probe delay. It removes l
// if no call is running and linkRetention has passed.
func (t *Transport) checkLink(i any, l *link, n time.Duration) {
	d := n - time.Duration(l.busySince.Load())
	switch {
	case l.runningCalls.Load() > 0:
		if v := l.connection.Load(); v != nil && min(d, v.sinceLastRead(n)) > t.probeDelay && l.probing.CompareAndSwap(false, true) {
			t.goroutines.Go(func() { l.probe(v) })
		}
	case d > linkRetention:
		t.links.CompareAndDelete(i, l)
	}
}

// probe pings the connection n. If the ping fails, it dials another connection. If
// n still has received nothing when the dial ends, n is closed and replaced by the
// new connection, or by none if the dial failed. The calls on n then fail
// immediately instead of at their deadlines.
func (l *link) probe(n *connection) {
	defer l.probing.Store(false)
	b := n.lastRead.Load()
	l.transport.counters.probes.Inc(1)
	c, f := context.WithTimeout(l.transport.lifetime, pingTimeout)
	defer f()
	if n.http.Ping(c) == nil {
		return
	}
	m, e := l.transport.dial(l, dialTimeout)
	if n.lastRead.Load() > b {
		// The connection is slow, not half-open.
		m.close()
		return
	}
	if e != nil {
		l.failedDials.Add(1)
	}
	if !l.connection.CompareAndSwap(n, m) {
		m.close()
	} else if m != nil {
		l.transport.counters.replaced.Inc(1)
	}
	n.close()
	if e == nil {
		l.transport.probeIdle()
	}
}

// probeIdle probes the connections without running calls on which nothing has arrived
// for pingTimeout. It is called after a connection was found half-open while new ones
// work: what has made it so may have hit others, on which the next call would fail.
func (t *Transport) probeIdle() {
	k := t.sinceStart()
	t.links.Range(func(_, v any) bool {
		l := v.(*link)
		n := l.connection.Load()
		if n != nil && n.sinceLastRead(k) > pingTimeout && l.runningCalls.Load() == 0 && l.probing.CompareAndSwap(false, true) {
			t.goroutines.Go(func() { l.closeIfSilent(n) })
		}
		return true
	})
}

// closeIfSilent pings the idle connection n and closes it if the ping fails, unless
// calls have begun meanwhile. The next call then uses a new connection.
func (l *link) closeIfSilent(n *connection) {
	defer l.probing.Store(false)
	l.transport.counters.probes.Inc(1)
	c, f := context.WithTimeout(l.transport.lifetime, pingTimeout)
	defer f()
	if n.http.Ping(c) != nil && l.runningCalls.Load() == 0 && l.connection.CompareAndSwap(n, nil) {
		n.close()
	}
}
