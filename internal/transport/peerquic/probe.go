package peerquic

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
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
	d := n - time.Duration(l.heard.Load())
	switch {
	case l.calls.Load() > 0:
		if d > t.silence && l.probing.CompareAndSwap(false, true) {
			t.work.Go(l.probe)
		}
	case d > forgetAfter:
		t.links.CompareAndDelete(i, l)
	}
}

// probe replaces the connection when it does not answer a ping. Its calls fail
// then, without waiting for the idle timeout.
func (l *link) probe() {
	defer l.probing.Store(false)
	n := l.connection.Load()
	if n == nil || n.Context().Err() != nil {
		return
	}
	b := l.heard.Load()
	l.transport.counters.probes.Inc(1)
	if e := ping(l.transport.context, n); e == nil {
		l.hear()
		return
	}
	m, _ := l.transport.dial(l.instance, l.address, dialTimeout, true)
	if l.heard.Load() > b {
		// A reply came after all.
		discard(m)
		return
	}
	l.replace(n, m)
	_ = n.CloseWithError(codeSilent, "silent")
}

// replace puts the connection m in the place of n; nil when the peer does not
// answer at all.
func (l *link) replace(n, m *quic.Conn) {
	if m == nil {
		l.failures.Add(1)
	}
	switch {
	case !l.connection.CompareAndSwap(n, m):
		discard(m)
	case m != nil:
		l.transport.counters.replaced.Inc(1)
	}
}

// ping makes the smallest call on the connection n.
func ping(c context.Context, n *quic.Conn) error {
	c, f := context.WithTimeout(c, pingTimeout)
	defer f()
	s, e := n.OpenStreamSync(c)
	if e != nil {
		return e
	}
	g := context.AfterFunc(c, func() { cancel(s) })
	defer g()
	if e := send(s, []byte{byte(kindPing)}); e != nil {
		return e
	}
	_, e = receive(s, 1, func() {})
	return e
}

func discard(n *quic.Conn) {
	if n != nil {
		_ = n.CloseWithError(codeClosed, "")
	}
}
