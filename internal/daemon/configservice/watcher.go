package configservice

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
)

const (
	watchWait  = 30 * time.Second
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// A Watcher watches both documents at the source and offers each version to
// the store.
type Watcher struct {
	source   lavenderridge.ConfigService
	acceptor *Acceptor
	log      *zap.Logger
}

// NewWatcher returns a watcher of the source s that feeds the acceptor a.
func NewWatcher(s lavenderridge.ConfigService, a *Acceptor, l *zap.Logger) *Watcher {
	return &Watcher{source: s, acceptor: a, log: l}
}

// Run watches until c ends.
func (w *Watcher) Run(c context.Context) error {
	g, c := errgroup.WithContext(c)
	for _, d := range []lavenderridge.DocumentName{lavenderridge.DocumentCatalogue, lavenderridge.DocumentInstanceList} {
		g.Go(func() error { return w.watch(c, d) })
	}
	return g.Wait()
}

func (w *Watcher) watch(c context.Context, d lavenderridge.DocumentName) error {
	var v lavenderridge.Version
	b := minBackoff
	for c.Err() == nil {
		p, e := w.source.Read(c, d, v, watchWait)
		if e != nil {
			if c.Err() == nil {
				w.log.Warn("SourceReadFailed", zap.String("Document", string(d)), zap.Error(e))
			}
			sleep(c, rand.N(b))
			b = min(2*b, maxBackoff)
			continue
		}
		b = minBackoff
		if p != nil {
			v = p.Version
			w.acceptor.Published(p)
		}
	}
	return nil
}

func sleep(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-t.C:
	}
}
