package lavenderridge_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/standin/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
)

// Limits of the process that a crowd meets. The bounds of the test are these limits.
const (
	crowdMemoryMegabytes = 96
	crowdDescriptors     = 512
	// crowdReserve is the number of descriptors that a process must keep free of a
	// crowd, for its backend server, the configuration service and other daemons.
	crowdReserve = 128
	// crowdAnswerTime is how long an ordinary client tries until it has an answer.
	crowdAnswerTime = 20 * time.Second
	// crowdStopTime is when a process counts as hanging that doesn't end.
	crowdStopTime     = 45 * time.Second
	largeResponse     = 900 << 10 // bytes
	largeResponsePath = "/roster/large"
)

// crowdCatalogue has routes with a long deadline, so that a request of a slow client
// isn't refused for its time.
const crowdCatalogue = `
[[DataCentres]]
ID = "fukuoka"
Region = "kyushu"
State = "InService"

[[Services]]
ID = "roster"
Slots = 10
Connections = 130
Queue = 20

[[Services]]
ID = "front"
Slots = 10
Connections = 130
Queue = 20

[[Entries]]
ID = "roster"
Owner = "courses"
Class = "Normal"
Service = "roster"
PathPrefix = "/roster"
Idempotent = true
Timeout = "2s"
`

// crowdSettings are the settings of the process. Its arguments are the instance, its
// service, the addresses of the configuration service, the backend server, callers, daemons, operators and metrics.
const crowdSettings = `
Instance = %q
DataCentre = "fukuoka"
Service = %q
[ConfigService]
Address = %q
[Backend]
Address = %q
[Caller]
Address = %q
[Peer]
Address = %q
[Operator]
Address = %q
Metrics = %q
[Limits]
MemoryMegabytes = %d
MaxBody = %q
StopTimeout = "2s"
[Keys]
Ephemeral = true
`

// crowdProcess is a daemon with lowered limits that runs as a separate process.
type crowdProcess struct {
	command *exec.Cmd
	// doors are the addresses of the daemon's listeners by name.
	doors  map[string]string
	output *bytes.Buffer
	ended  chan struct{}
}

// crowdSite is what the daemons of a test run beside.
type crowdSite struct {
	binary, source, backend string
	instances               []lavenderridge.Instance
	// maxBody is the setting Limits.MaxBody.
	maxBody string
}

// newCrowdSite starts a backend server and a configuration service that lists one
// instance for each of the services l.
func newCrowdSite(t *testing.T, b string, l ...lavenderridge.ServiceID) *crowdSite {
	t.Helper()
	v := backendserver.NewServer("roster-0", 10, time.Millisecond)
	x := bytes.Repeat([]byte("x"), largeResponse)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == largeResponsePath {
			_, _ = w.Write(x)
			return
		}
		v.ServeHTTP(w, q)
	}))
	t.Cleanup(backend.Close)
	source := configservice.NewServer(0)
	h := httptest.NewServer(source)
	t.Cleanup(h.Close)
	s := &crowdSite{binary: b, maxBody: "1MiB", source: h.Listener.Addr().String(), backend: backend.Listener.Addr().String()}
	for _, n := range l {
		s.instances = append(s.instances, lavenderridge.Instance{
			ID: lavenderridge.InstanceID(n + "-0"), DataCentre: "fukuoka", Service: n,
			Peer: lavenderridge.Address(freeAddress(t)), State: lavenderridge.InstanceLive,
		})
	}
	d, e := instancesjson.Format(&lavenderridge.InstanceList{Instances: s.instances})
	if e != nil {
		t.Fatal(e)
	}
	source.Publish(lavenderridge.DocumentInstanceList, d)
	source.Publish(lavenderridge.DocumentCatalogue, []byte(crowdCatalogue))
	return s
}

// start starts the daemon of the instance n.
func (s *crowdSite) start(t *testing.T, n lavenderridge.Instance) *crowdProcess {
	t.Helper()
	p := &crowdProcess{doors: map[string]string{"peers": string(n.Peer)}, output: &bytes.Buffer{}, ended: make(chan struct{})}
	for _, d := range []string{"callers", "operators", "metrics"} {
		p.doors[d] = freeAddress(t)
	}
	f := filepath.Join(t.TempDir(), "settings.toml")
	c := fmt.Appendf(nil, crowdSettings, n.ID, n.Service, s.source, s.backend,
		p.doors["callers"], p.doors["peers"], p.doors["operators"], p.doors["metrics"], crowdMemoryMegabytes, s.maxBody)
	if e := os.WriteFile(f, c, 0o600); e != nil {
		t.Fatal(e)
	}
	p.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" serve "$1"`, crowdDescriptors), s.binary, f)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	if e := p.command.Start(); e != nil {
		t.Fatal(e)
	}
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

// startCrowdProcess starts the only daemon of a site with the program b and waits until
// it serves.
func startCrowdProcess(t *testing.T, b string) *crowdProcess {
	t.Helper()
	s := newCrowdSite(t, b, "roster")
	p := s.start(t, s.instances[0])
	if !p.answered("/roster/1", "callers") {
		t.Fatalf("the daemon doesn't serve before the crowd\n%s", p.output)
	}
	return p
}

// lives reports whether the process has not ended.
func (p *crowdProcess) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// answered reports whether an ordinary client gets the path u from the door d, which
// it tries again as clients do after a refusal.
func (p *crowdProcess) answered(u, d string) bool {
	for t := time.Now(); time.Since(t) < crowdAnswerTime && p.lives(); time.Sleep(50 * time.Millisecond) {
		h := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		r, e := h.Get("http://" + p.doors[d] + u)
		if e != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// peakMemory returns the greatest resident memory of the process so far in bytes.
func (p *crowdProcess) peakMemory() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for l := range strings.Lines(string(b)) {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "VmHWM:" {
			n, _ := strconv.Atoi(f[1])
			return n << 10
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (p *crowdProcess) descriptors() int {
	l, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(l)
}

// stop sends SIGTERM and reports whether the process ends.
func (p *crowdProcess) stop() bool {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return true
	case <-time.After(crowdStopTime):
		return false
	}
}

// report lets the crowd c meet the process and returns what held.
func (p *crowdProcess) report(t *testing.T, c *crowd) string {
	c.start(p.doors[c.door])
	defer c.end()
	f := 0
	c.settle(func() { f = max(f, p.descriptors()) })
	var r strings.Builder
	failed := false
	check := func(o bool, w, n string) {
		if !o {
			w, failed = n, true
		}
		_, _ = fmt.Fprintln(&r, w)
	}
	a, ready := p.answered("/roster/1", "callers"), p.answered("/readyz", "operators")
	f = max(f, p.descriptors())
	m, v := p.peakMemory(), p.lives()
	t.Logf("%s at %s: %d MB at the peak, %d descriptors", c.kind, c.door, m/1e6, f)
	check(v, "the process lives", "the process has ended")
	check(v && m <= crowdMemoryMegabytes*1e6, "its memory stays within the limit", "its memory exceeds the limit")
	check(f <= crowdDescriptors-crowdReserve, "its descriptors stay within the limit", "its descriptors exceed the limit")
	check(a, "an ordinary request is answered", "an ordinary request isn't answered")
	check(ready, "readiness is answered", "readiness isn't answered")
	check(v && p.stop(), "it ends beside the crowd", "it doesn't end beside the crowd")
	if failed {
		t.Logf("%s", p.output)
	}
	return r.String()
}

// TestCrowds guards against clients from outside that make a process run out of memory
// or descriptors, or that keep ordinary clients out. Each file is a crowd at one door
// of a daemon with lowered limits. What they send is in crowd_test.go.
func TestCrowds(t *testing.T) {
	b := buildBinary(t)
	datadriven.Walk(t, "testdata/crowds", func(t *testing.T, n string) {
		datadriven.RunTest(t, n, func(t *testing.T, d *datadriven.TestData) string {
			c := &crowd{stop: make(chan struct{})}
			d.ScanArgs(t, "door", &c.door)
			d.ScanArgs(t, "clients", &c.size)
			d.ScanArgs(t, "kind", &c.kind)
			if c.door == "peers" {
				c.send = peerCrowds[c.kind]
			} else {
				c.send = plainCrowds[c.kind]
			}
			if c.send == nil {
				d.Fatalf(t, "unknown kind %q", c.kind)
			}
			return startCrowdProcess(t, b).report(t, c)
		})
	})
}
