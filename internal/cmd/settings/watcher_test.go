package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge/internal/cmd/settings"
)

const watched = `Instance = "a"
DataCentre = "kyu-a"
Service = "roster"
[Caller]
Address = "127.0.0.1:7100"
[Peer]
Address = "127.0.0.1:7200"
[Backend]
Address = "127.0.0.1:7400"
[ConfigService]
Address = "127.0.0.1:7500"
[Keys]
Ephemeral = true
`

// TestWatch checks that a changed settings file is applied, both after a signal
// and without one, and that a file with findings is not.
func TestWatch(t *testing.T) {
	p := filepath.Join(t.TempDir(), "settings.toml")
	write := func(b string) {
		if e := os.WriteFile(p, []byte(b), 0o600); e != nil {
			t.Fatal(e)
		}
	}
	write(watched)
	got := make(chan string, 10)
	a, v := settings.Load(p)
	if len(v) > 0 {
		t.Fatal(v)
	}
	w := settings.NewWatcher(p, a, zap.NewNop(), func(s *settings.Settings) bool {
		got <- string(s.Daemon.Service)
		return true
	})
	c, f := context.WithCancel(t.Context())
	defer f()
	h := make(chan os.Signal, 1)
	go w.Run(c, h)
	want := func(s string) {
		t.Helper()
		select {
		case v := <-got:
			if v != s {
				t.Errorf("service %q; want %q", v, s)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("settings with service %q not applied within 2 s", s)
		}
	}
	write(strings.Replace(watched, `"roster"`, `"billing"`, 1))
	h <- syscall.SIGHUP
	want("billing")
	write(strings.Replace(watched, `"roster"`, `""`, 1))
	time.Sleep(400 * time.Millisecond)
	write(strings.Replace(watched, `"roster"`, `"media"`, 1))
	want("media")
}

// TestChangeDuringStart guards against a change of the settings that is never applied,
// because it comes after they were read and before they are watched.
func TestChangeDuringStart(t *testing.T) {
	p := filepath.Join(t.TempDir(), "settings.toml")
	if e := os.WriteFile(p, []byte(watched), 0o600); e != nil {
		t.Fatal(e)
	}
	a, v := settings.Load(p)
	if len(v) > 0 {
		t.Fatal(v)
	}
	if e := os.WriteFile(p, []byte(strings.Replace(watched, `"roster"`, `"billing"`, 1)), 0o600); e != nil {
		t.Fatal(e)
	}
	var got string
	w := settings.NewWatcher(p, a, zap.NewNop(), func(s *settings.Settings) bool {
		got = string(s.Daemon.Service)
		return true
	})
	w.Check()
	if got != "billing" {
		t.Errorf("service %q after a check; want billing", got)
	}
}
