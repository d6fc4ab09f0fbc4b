package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

// pollInterval is the time between two checks of a settings file, so that a
// changed file is reloaded even without a signal.
const pollInterval = 250 * time.Millisecond

// A Watcher reloads and applies a settings file that changes while the daemon runs.
// A file with findings is rejected, and the active settings stay.
type Watcher struct {
	file  string
	log   *zap.Logger
	apply func(s *Settings) bool
	seen  []byte // content of the file that was checked last
}

// NewWatcher returns a watcher of the file p, from which the active settings s were
// read. The file may have changed since. The function f applies other settings and reports
// whether they differ from the active ones.
func NewWatcher(p string, s *Settings, l *zap.Logger, f func(s *Settings) bool) *Watcher {
	return &Watcher{file: p, log: l, apply: f, seen: s.text}
}

// Run checks the file at intervals of pollInterval and after each signal from h,
// until c ends.
func (w *Watcher) Run(c context.Context, h <-chan os.Signal) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-h:
			w.log.Info("ReloadRequested", zap.String("File", w.file))
		case <-t.C:
		}
		w.Check()
	}
}

// Check loads and applies the file if it has changed since the last check.
func (w *Watcher) Check() {
	b, e := readFile(w.file)
	if e != nil {
		w.log.Error("SettingsRejected", zap.Error(e))
		return
	}
	if bytes.Equal(b, w.seen) {
		return
	}
	w.seen = b
	s, f := load(w.file, b)
	if len(f) > 0 {
		w.log.Error("SettingsRejected", zap.Error(f))
		return
	}
	w.log.Info("SettingsReloaded", zap.Bool("Changed", w.apply(s)), zap.String("Service", string(s.Daemon.Service)))
}
