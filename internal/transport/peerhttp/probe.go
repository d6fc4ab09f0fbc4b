package peerhttp

import (
	"context"
	"time"
)

const (
	sweepInterval = 50 * time.Millisecond
	pingTimeout   = 200 * time.Millisecond
	// forgetAfter is how long an unused link is kept.
	forgetAfter = 10 * time.Minute
)

// sweep probes the links on which calls wait in silence, until c ends.
func (t *Transport) sweep(c context.Context) {
	k := time.NewTicker(sweepInterval)
	defer k.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-k.C:
		}
		n := t.now()
		t.links.Range(func(i, v any) bool {
			t.check(i, v.(*link), n)
			return true
		})
	}
}

func (t *Transport) check(i any, l *link, n time.Duration) {
	d := n - time.Duration(l.begun.Load())
	switch {
	case l.calls.Load() > 0:
		if v := l.connection.Load(); v != nil && min(d, v.age(n)) > t.silence && l.probing.CompareAndSwap(false, true) {
			t.work.Go(func() { l.probe(v) })
		}
	case d > forgetAfter:
		t.links.CompareAndDelete(i, l)
	}
}

// probe replaces the connection n when nothing comes over it before a new one
// is open. Its calls fail then, without waiting for their deadlines.
func (l *link) probe(n *connection) {
	defer l.probing.Store(false)
	b := n.heard.Load()
	l.transport.counters.probes.Inc(1)
	c, f := context.WithTimeout(l.transport.context, pingTimeout)
	defer f()
	if n.http.Ping(c) == nil {
		return
	}
	m, e := l.transport.dial(l, dialTimeout)
	if n.heard.Load() > b {
		// The connection was slow, not silent.
		m.close()
		return
	}
	if e != nil {
		l.failures.Add(1)
	}
	if !l.connection.CompareAndSwap(n, m) {
		m.close()
	} else if m != nil {
		l.transport.counters.replaced.Inc(1)
	}
	n.close()
}
