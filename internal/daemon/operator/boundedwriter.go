package operator

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// maxLines is the number of lines that may wait to be written: about a
	// quarter of a megabyte.
	maxLines = 1024
	// maxLineRate bounds the lines in a second, so that logging under load
	// costs little beside the requests themselves.
	maxLineRate = 500
)

// linesLeftOut is the event that tells how many lines were left out.
const linesLeftOut = "LogLinesLeftOut"

// A BoundedWriter passes lines on from a goroutine of its own. Lines beyond its
// bounds are left out and counted; nothing waits for the output.
type BoundedWriter struct {
	next    io.Writer
	lines   chan []byte
	left    atomic.Int64 // lines that may still be written in this second
	dropped atomic.Uint64
}

var _ zapcore.WriteSyncer = (*BoundedWriter)(nil)

// NewBoundedWriter returns a writer that passes lines on to w while Run runs.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{next: w, lines: make(chan []byte, maxLines)}
	b.left.Store(maxLineRate)
	return b
}

// Write implements io.Writer. It never blocks.
func (w *BoundedWriter) Write(b []byte) (int, error) {
	if w.left.Add(-1) < 0 {
		w.dropped.Add(1)
		return len(b), nil
	}
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *BoundedWriter) Sync() error { return nil }

// Run writes until c ends, and then what still waits.
func (w *BoundedWriter) Run(c context.Context) {
	k := time.NewTicker(time.Second)
	defer k.Stop()
	for {
		select {
		case b := <-w.lines:
			_, _ = w.next.Write(b)
		case <-k.C:
			w.renew()
		case <-c.Done():
			w.flush()
			return
		}
	}
}

// renew begins another second and tells how many lines were left out in the
// one before.
func (w *BoundedWriter) renew() {
	w.left.Store(maxLineRate)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.next, "{\"Level\":\"warn\",\"Event\":%q,\"Count\":%d}\n", linesLeftOut, n)
	}
}

func (w *BoundedWriter) flush() {
	w.renew()
	for {
		select {
		case b := <-w.lines:
			_, _ = w.next.Write(b)
		default:
			return
		}
	}
}
