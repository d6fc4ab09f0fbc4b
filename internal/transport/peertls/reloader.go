package peertls

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// expiryWarning is how long before its end a certificate is warned of.
const expiryWarning = 72 * time.Hour

// A Reloader puts changed key files in force while the daemon runs. Files with
// faults leave the keys in force as they are.
type Reloader struct {
	files    Files
	identity Identity
	keys     *Keys
	log      *zap.Logger
	seen     [3]fileStamp
	warned   time.Time
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

// Check loads the files when they have changed since the last look, and logs
// when the certificate in force expires soon after the time t.
func (r *Reloader) Check(t time.Time) {
	r.reload(t)
	r.warn(t)
}

// warn logs once for each certificate that it expires soon.
func (r *Reloader) warn(t time.Time) {
	n := r.keys.NotAfter()
	if t.Before(n.Add(-expiryWarning)) || n.Equal(r.warned) {
		return
	}
	r.warned = n
	r.log.Warn("KeysExpireSoon", zap.Time("NotAfter", n))
}

func (r *Reloader) reload(t time.Time) {
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
