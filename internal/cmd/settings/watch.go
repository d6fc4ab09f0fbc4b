package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

// watchInterval is the time between two looks at a settings file: settings may
// change without a signal.
const watchInterval = 250 * time.Millisecond

// A Watch puts a changed settings file in force while the daemon runs. A file
// with findings leaves the settings in force as they are.
type Watch struct {
	file  string
	log   *zap.Logger
	apply func(s *Settings) bool
	seen  []byte
}

// NewWatch returns a watch of the file p, from which the settings in force were
// read. The function f puts others in force and reports whether they differ.
func NewWatch(p string, l *zap.Logger, f func(s *Settings) bool) *Watch {
	w := &Watch{file: p, log: l, apply: f}
	w.seen, _ = os.ReadFile(p)
	return w
}

// Run looks at the file at intervals and whenever h gives a signal, until c
// ends.
func (w *Watch) Run(c context.Context, h <-chan os.Signal) {
	t := time.NewTicker(watchInterval)
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

// Check loads the file when it has changed since the last look.
func (w *Watch) Check() {
	b, e := os.ReadFile(w.file)
	if e != nil {
		w.log.Error("SettingsRejected", zap.Error(e))
		return
	}
	if bytes.Equal(b, w.seen) {
		return
	}
	w.seen = b
	s, f := Load(w.file)
	if len(f) > 0 {
		w.log.Error("SettingsRejected", zap.Error(f))
		return
	}
	w.log.Info("SettingsReloaded", zap.Bool("Changed", w.apply(s)), zap.String("Service", string(s.Daemon.Service)))
}
