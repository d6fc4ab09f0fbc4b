package plainhttp

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrNoProgress is the cause with which a Progress cancels its context.
var ErrNoProgress = errors.New("plainhttp: no byte of the response arrived in time")

// A Progress cancels a context when a response does not begin in time or pauses for
// too long. Unlike a timeout of the whole exchange, it tells a connection on which
// nothing arrives from a large response over a slow link.
type Progress struct {
	pause   time.Duration
	timer   *time.Timer
	context context.Context
	cancel  context.CancelCauseFunc
}

// WithProgress returns a context that is cancelled with ErrNoProgress if no byte is
// read from a Reader of the Progress for the time w and the longest pause d at first,
// and for d afterwards. The caller must call Stop.
func WithProgress(c context.Context, w, d time.Duration) (context.Context, *Progress) {
	c, x := context.WithCancelCause(c)
	return c, &Progress{pause: d, timer: time.AfterFunc(w+d, func() { x(ErrNoProgress) }), context: c, cancel: x}
}

// Reader returns a reader of r whose reads count as progress.
func (p *Progress) Reader(r io.Reader) io.Reader {
	return &progressReader{reader: r, progress: p}
}

// Error returns ErrNoProgress in place of the error e of an operation that failed
// because the Progress cancelled its context, and e otherwise.
func (p *Progress) Error(e error) error {
	if e != nil && errors.Is(context.Cause(p.context), ErrNoProgress) {
		return ErrNoProgress
	}
	return e
}

// Stop releases the resources of the context.
func (p *Progress) Stop() {
	p.timer.Stop()
	p.cancel(nil)
}

type progressReader struct {
	reader   io.Reader
	progress *Progress
}

var _ io.Reader = (*progressReader)(nil)

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, e := r.reader.Read(b)
	if n > 0 {
		r.progress.timer.Reset(r.progress.pause)
	}
	return n, e
}
