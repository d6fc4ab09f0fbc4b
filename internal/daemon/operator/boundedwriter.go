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
	// maxQueuedLines bounds the lines that wait to be written. They use about a
	// quarter of a megabyte.
	maxQueuedLines = 1024
	// maxLinesPerSecond bounds the rate of lines, so that logging under load costs
	// little compared to the requests themselves.
	maxLinesPerSecond = 500
)

// linesDroppedEvent is the event of the line that reports the number of dropped
// lines.
const linesDroppedEvent = "LogLinesLeftOut"

// A BoundedWriter writes log lines to another writer from a separate goroutine,
// so that no caller of Write waits for the output. Lines above the rate limit or
// beyond the queue are dropped and counted.
type BoundedWriter struct {
	next      io.Writer
	lines     chan []byte
	remaining atomic.Int64 // lines that are still accepted in this second
	dropped   atomic.Uint64
}

var _ zapcore.WriteSyncer = (*BoundedWriter)(nil)

// NewBoundedWriter returns a writer that queues lines, which Run writes to w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{next: w, lines: make(chan []byte, maxQueuedLines)}
	b.remaining.Store(maxLinesPerSecond)
	return b
}

// Write implements io.Writer. It takes b as one line, never blocks, and reports a
// dropped line as written.
func (w *BoundedWriter) Write(b []byte) (int, error) {
	if w.remaining.Add(-1) < 0 {
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

// Sync implements zapcore.WriteSyncer. It does nothing.
func (w *BoundedWriter) Sync() error { return nil }

// Run writes queued lines until c ends, then the lines that are still queued.
func (w *BoundedWriter) Run(c context.Context) {
	k := time.NewTicker(time.Second)
	defer k.Stop()
	for {
		select {
		case b := <-w.lines:
			_, _ = w.next.Write(b)
		case <-k.C:
			w.startSecond()
		case <-c.Done():
			w.flush()
			return
		}
	}
}

// startSecond resets the rate limit for the next second. If lines were dropped
// since the previous call, it writes a line with their number.
func (w *BoundedWriter) startSecond() {
	w.remaining.Store(maxLinesPerSecond)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.next, "{\"Level\":\"warn\",\"Event\":%q,\"Count\":%d}\n", linesDroppedEvent, n)
	}
}

// flush writes the number of dropped lines and all queued lines.
func (w *BoundedWriter) flush() {
	w.startSecond()
	for {
		select {
		case b := <-w.lines:
			_, _ = w.next.Write(b)
		default:
			return
		}
	}
}
