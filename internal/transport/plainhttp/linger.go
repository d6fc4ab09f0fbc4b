package plainhttp

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// lingerPause is how long nothing may arrive from a client, and lingerTimeout the
	// longest time from the latest write, until the daemon no longer waits for the client
	// to close its side.
	lingerPause   = time.Second
	lingerTimeout = 5 * time.Second
	// discardPiece is the size in bytes of what is discarded at a time.
	discardPiece = 2 << 10
)

// Close implements net.Conn. It ends the side that sends at once. The other side stays open
// until the client has closed the connection or sends nothing more: closing it with unread
// bytes resets the connection, and the client loses what it hasn't received yet.
//
// What arrives behind an answer that has announced the close is discarded. Between two
// requests it is left unread, because a client may send a request again that the daemon
// hasn't read.
func (n *Conn) Close() error {
	if !n.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	n.client.Finish()
	d := time.Since(n.opened) - time.Duration(n.written.Load())
	if n.written.Load() == 0 || n.ended.Load() || d > lingerPause || n.CloseWrite() != nil {
		n.client.Leave()
		return n.Conn.Close()
	}
	n.listener.lingering.add(n)
	if n.idle.Load() {
		// A read of the HTTP library that still waits must not take a request either.
		_ = n.Conn.SetReadDeadline(time.Unix(1, 0))
		go n.linger(func() { n.awaitClose(lingerPause) })
	} else {
		go n.linger(func() { n.discard(lingerTimeout - d) })
	}
	return nil
}

// linger closes the connection after f has waited for the client.
func (n *Conn) linger(f func()) {
	f()
	n.cut()
	n.client.Leave()
	n.listener.lingering.remove(n)
}

// awaitClose waits until the client has closed the connection, at most for the time d. It
// leaves what arrives unread.
func (n *Conn) awaitClose(d time.Duration) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for v := time.Now().Add(d); !n.HasLeft() && time.Now().Before(v); {
		<-t.C
	}
}

// discard discards what arrives until nothing more does, at most for the time d.
func (n *Conn) discard(d time.Duration) {
	t := time.Now().Add(d)
	b := make([]byte, discardPiece)
	for {
		v := time.Now().Add(lingerPause)
		if v.After(t) {
			v = t
		}
		if n.Conn.SetReadDeadline(v) != nil {
			return
		}
		if _, e := n.Conn.Read(b); e != nil {
			return
		}
	}
}

// cut closes the connection at once.
func (n *Conn) cut() {
	_ = n.Conn.Close()
}

// lingering holds the closed connections whose clients haven't closed them yet.
type lingering struct {
	mutex sync.Mutex
	conns map[*Conn]struct{}
	// empty is closed when the last connection is removed.
	empty chan struct{}
}

func newLingering() *lingering {
	return &lingering{conns: make(map[*Conn]struct{})}
}

func (l *lingering) add(n *Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.conns) == 0 {
		l.empty = make(chan struct{})
	}
	l.conns[n] = struct{}{}
}

func (l *lingering) remove(n *Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if delete(l.conns, n); len(l.conns) == 0 {
		close(l.empty)
	}
}

// wait waits until no connection lingers. When c ends, it closes those that still do.
func (l *lingering) wait(c context.Context) {
	f := context.AfterFunc(c, l.cut)
	defer f()
	l.mutex.Lock()
	v, n := l.empty, len(l.conns)
	l.mutex.Unlock()
	if n > 0 {
		<-v
	}
}

func (l *lingering) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for n := range l.conns {
		n.cut()
	}
}
