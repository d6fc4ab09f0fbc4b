package assembly_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/goleak"

	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/standin/mesh"
)

// fetch returns the status and the body at the URL u.
func fetch(t *testing.T, l *http.Client, u string) (int, string) {
	t.Helper()
	r, e := http.NewRequestWithContext(context.Background(), http.MethodGet, u, http.NoBody)
	if e != nil {
		t.Fatal(e)
	}
	p, e := l.Do(r)
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = p.Body.Close() }()
	b, e := io.ReadAll(p.Body)
	if e != nil {
		t.Fatal(e)
	}
	return p.StatusCode, string(b)
}

// TestDaemonLeaksNoGoroutine starts daemons, sends them requests of callers and
// operators, stops them, and checks that no goroutine is left. It also checks that
// the data for operators agrees with the requests that callers sent.
func TestDaemonLeaksNoGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	kratoslog.SetLogger(kratoslog.NewStdLogger(io.Discard))
	c, f := context.WithTimeout(context.Background(), 20*time.Second)
	defer f()
	m, e := mesh.NewMesh(c, mesh.WithConfig(func(f *assembly.Config) { f.KeyReloadInterval = 20 * time.Millisecond }))
	if e != nil {
		t.Fatal(e)
	}
	e = m.Wait(c, func(d *assembly.Daemon) bool { return d.Status().Ready })
	if e != nil {
		t.Error(e)
	}
	l := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
	const requests = 20
	for i := range requests {
		d := m.Members[i%len(m.Members)].Daemon
		if s, b := fetch(t, l, fmt.Sprintf("http://%s/roster/read/%d", d.CallerAddress(), i)); s != http.StatusOK {
			t.Errorf("status %d: %s", s, b)
		}
	}
	var n int
	for _, v := range m.Members {
		u := "http://" + string(v.Daemon.OperatorAddress())
		_, b := fetch(t, l, u+"/metrics")
		for x := range strings.Lines(b) {
			var k int
			if _, e := fmt.Sscanf(x, `lavenderridge_requests_total{good="true"} %d`, &k); e == nil {
				n += k
			}
		}
		if s, _ := fetch(t, l, u+"/readyz"); s != http.StatusOK {
			t.Errorf("/readyz: status %d; want 200", s)
		}
		if _, b := fetch(t, l, u+"/decisions"); !strings.Contains(b, `"Event":"VersionAccepted"`) {
			t.Errorf("/decisions: no VersionAccepted in %s", b)
		}
		if _, b := fetch(t, l, u+"/burn"); !strings.Contains(b, `"Entry":"roster-read"`) {
			t.Errorf("/burn: no entry roster-read in %s", b)
		}
	}
	if n != requests {
		t.Errorf("metrics count %d good requests; want %d", n, requests)
	}
	l.CloseIdleConnections()
	if e := m.Close(); e != nil {
		t.Error(e)
	}
}
