package peertls

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// expiryWarning is how long before the expiry of the certificate a warning is
// logged.
const expiryWarning = 72 * time.Hour

// A Reloader loads key files that change while the daemon runs. If the changed
// files are invalid, the daemon keeps its current keys.
type Reloader struct {
	files    Files
	identity Identity
	keys     *Keys
	log      *zap.Logger
	// lastStates are the file states at the last attempt to load the files.
	lastStates [3]fileState
	// warnedExpiry is the expiry for which the last warning was logged.
	warnedExpiry time.Time
}

// NewReloader returns a reloader of the keys k of the daemon i, which were
// loaded from the files f.
func NewReloader(f Files, i Identity, k *Keys, l *zap.Logger) *Reloader {
	s, _ := f.states()
	return &Reloader{files: f, identity: i, keys: k, log: l, lastStates: s}
}

// Run checks the files at intervals of d until c ends.
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

// Check loads the files if they have changed since they were last loaded. It logs
// a warning if the current certificate expires within expiryWarning after t.
func (r *Reloader) Check(t time.Time) {
	r.reload(t)
	r.warnOfExpiry(t)
}

// warnOfExpiry logs one warning for each certificate that expires soon.
func (r *Reloader) warnOfExpiry(t time.Time) {
	n := r.keys.NotAfter()
	if t.Before(n.Add(-expiryWarning)) || n.Equal(r.warnedExpiry) {
		return
	}
	r.warnedExpiry = n
	r.log.Warn("KeysExpireSoon", zap.Time("NotAfter", n))
}

// reload loads the files if all can be accessed and one has changed. Files that
// were rejected are not loaded again until one of them changes.
func (r *Reloader) reload(t time.Time) {
	s, o := r.files.states()
	if !o || s == r.lastStates {
		return
	}
	r.lastStates = s
	k, e := r.files.Load(r.identity, t)
	if e != nil {
		r.log.Error("KeysRejected", zap.Error(e))
		return
	}
	r.keys.replaceWith(k)
	r.log.Info("KeysReloaded", zap.Time("NotAfter", r.keys.NotAfter()))
}
