package peertls

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// A Reloader puts changed key files in force while the daemon runs. Files with
// faults leave the keys in force as they are.
type Reloader struct {
	files    Files
	identity Identity
	keys     *Keys
	log      *zap.Logger
	seen     [3]fileStamp
}

// NewReloader returns a reloader of the keys k of the daemon i, which were
// loaded from the files f.
func NewReloader(f Files, i Identity, k *Keys, l *zap.Logger) *Reloader {
	s, _ := f.stamps()
	return &Reloader{files: f, identity: i, keys: k, log: l, seen: s}
}

// Run looks at the files at intervals of d until c ends.
func (r *Reloader) Run(c context.Context, d time.Duration) error {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case n := <-t.C:
			r.Check(n)
		}
	}
}

// Check loads the files when they have changed since the last look. The time t
// decides whether the new certificate is valid.
func (r *Reloader) Check(t time.Time) {
	s, o := r.files.stamps()
	if !o || s == r.seen {
		return
	}
	r.seen = s
	k, e := r.files.Load(r.identity, t)
	if e != nil {
		r.log.Error("KeysRejected", zap.Error(e))
		return
	}
	r.keys.adopt(k)
	r.log.Info("KeysReloaded", zap.Time("NotAfter", r.keys.NotAfter()))
}
