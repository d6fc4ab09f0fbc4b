package peerquic

import (
	"context"
	"sync"
	"time"
)

// workerIdle is how long a worker without work is kept.
const workerIdle = 10 * time.Second

// workers runs jobs on goroutines that are kept for later jobs, because the
// stack of a new goroutine has to grow, by copying, on each call's path.
type workers struct {
	jobs chan func()
	wait sync.WaitGroup
}

func newWorkers() *workers {
	return &workers{jobs: make(chan func())}
}

// run gives the job f to an idle worker, or to a new one when there is none.
// Idle workers end with c.
func (w *workers) run(c context.Context, f func()) {
	select {
	case w.jobs <- f:
	default:
		w.wait.Go(func() { w.work(c, f) })
	}
}

func (w *workers) work(c context.Context, f func()) {
	t := time.NewTimer(workerIdle)
	defer t.Stop()
	for {
		f()
		t.Reset(workerIdle)
		select {
		case f = <-w.jobs:
		case <-t.C:
			return
		case <-c.Done():
			return
		}
	}
}
