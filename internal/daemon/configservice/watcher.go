package configservice

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

const (
	watchWait  = 30 * time.Second
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// A Watcher watches both documents at the source and offers each version to
// the store.
type Watcher struct {
	source lavenderridge.ConfigService
	parser lavenderridge.Parser
	store  *configservice.Store
	clock  lavenderridge.Clock
	log    *zap.Logger
}

// NewWatcher returns a watcher of the source s that feeds the store t.
func NewWatcher(s lavenderridge.ConfigService, p lavenderridge.Parser, t *configservice.Store, k lavenderridge.Clock, l *zap.Logger) *Watcher {
	return &Watcher{source: s, parser: p, store: t, clock: k, log: l}
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
			w.offer(p)
		}
	}
	return nil
}

func (w *Watcher) offer(d *lavenderridge.Document) {
	v, e := w.decide(d)
	f := []zap.Field{zap.String("Document", string(d.Name)), zap.Uint64("Version", uint64(d.Version))}
	switch {
	case e != nil:
		w.log.Error("VersionRejected", append(f, zap.Error(e))...)
	case v == configservice.VerdictConflict:
		w.log.Error("VersionConflict", f...)
	case v == configservice.VerdictAccepted:
		w.log.Info("VersionAccepted", f...)
	}
}

func (w *Watcher) decide(d *lavenderridge.Document) (configservice.Verdict, error) {
	if d.Name == lavenderridge.DocumentCatalogue {
		k, e := w.parser.ParseCatalogue(d.Body)
		if e != nil {
			return configservice.VerdictRejected, e
		}
		return w.store.OfferCatalogue(d.Version, k, w.clock.Now())
	}
	l, e := w.parser.ParseInstanceList(d.Body)
	if e != nil {
		return configservice.VerdictRejected, e
	}
	return w.store.OfferInstanceList(d.Version, l, w.clock.Now())
}

func sleep(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-t.C:
	}
}
