package operator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// bodyPool holds a number of bytes that bodies share. Reserving bytes takes a lock only
// while there are too few. Those who wait get bytes in the order of their arrival.
type bodyPool struct {
	limit   int64 // bytes; zero stands for no bound
	used    atomic.Int64
	waiting atomic.Int64 // length of queue
	mutex   sync.Mutex
	queue   []*poolWaiter
}

// poolWaiter waits for a number of bytes. Its channel is closed when it has them.
type poolWaiter struct {
	bytes int64
	ready chan struct{}
}

// reserve takes n bytes and returns nil. If there are too few until c ends, and for the
// time d unless that is zero, it returns the error of c. A number above the limit is
// never available.
func (p *bodyPool) reserve(c context.Context, n int64, d time.Duration) error {
	if p.limit == 0 {
		return nil
	}
	if n > p.limit {
		return ErrBodyTooLarge
	}
	if p.waiting.Load() == 0 && p.take(n) {
		return nil
	}
	if d > 0 {
		x, f := context.WithTimeout(c, d)
		defer f()
		c = x
	}
	w := p.enqueue(n)
	select {
	case <-w.ready:
		return nil
	case <-c.Done():
	}
	if p.leave(w) {
		return c.Err()
	}
	return nil
}

// release gives n bytes back.
func (p *bodyPool) release(n int64) {
	if p.limit == 0 {
		return
	}
	p.used.Add(-n)
	if p.waiting.Load() > 0 {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.serve()
	}
}

// take takes n bytes if they are available.
func (p *bodyPool) take(n int64) bool {
	for {
		v := p.used.Load()
		if v+n > p.limit {
			return false
		}
		if p.used.CompareAndSwap(v, v+n) {
			return true
		}
	}
}

// enqueue returns a waiter for n bytes. They may have become available since the caller
// looked.
func (p *bodyPool) enqueue(n int64) *poolWaiter {
	w := &poolWaiter{bytes: n, ready: make(chan struct{})}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.queue = append(p.queue, w)
	p.waiting.Add(1)
	p.serve()
	return w
}

// serve gives bytes to those who wait, as far as they go. The caller holds the lock.
func (p *bodyPool) serve() {
	for len(p.queue) > 0 && p.take(p.queue[0].bytes) {
		close(p.queue[0].ready)
		p.queue = p.queue[1:]
		p.waiting.Add(-1)
	}
}

// leave removes w from the queue. It returns false if w has got its bytes.
func (p *bodyPool) leave(w *poolWaiter) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i, v := range p.queue {
		if v == w {
			p.queue = append(p.queue[:i:i], p.queue[i+1:]...)
			p.waiting.Add(-1)
			p.serve()
			return true
		}
	}
	return false
}
