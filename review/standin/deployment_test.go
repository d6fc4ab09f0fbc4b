//go:build review

package review_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Ports of each machine, as in the examples of the pages. The store listens on an
// address of its own for each machine, by which it tells them apart.
const (
	appPort      = 8301
	readyPort    = 8302
	outboundPort = 8304
	peerPort     = 7620
	metricsPort  = 9102
	storePort    = 8309
)

const (
	// readyTimeout bounds the time until all daemons are ready.
	readyTimeout = 20 * time.Second
	// restartDelay is the delay after which the platform restarts a process.
	restartDelay = time.Second
	// memoryLimit is the memory of a machine (memoryMb = 284).
	memoryLimit = 284 << 20
	// memoryCheckInterval is the time between two checks of the memory limit.
	memoryCheckInterval = 5 * time.Millisecond
	portTries           = 50
)

// machine is one machine with a backend server and the daemon beside it.
type machine struct {
	ip, zone string
	backend  *backend

	mutex   sync.Mutex
	service string
	command *exec.Cmd
	exited  chan struct{}
	peak    int64 // bytes
	ends    int   // ends of the process that nobody asked for
}

func (m *machine) address(p int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(p))
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	record   *record
	store    *store
	machines []*machine
	folder   string
	prefix   string
	run      []string
	template string
	// stopping makes the platform restart no more processes.
	stopping bool
	mutex    sync.Mutex
	loops    sync.WaitGroup
	zones    []string
}

func newDeployment(r *record) *deployment {
	return &deployment{record: r, store: newStore()}
}

// start starts the store and a machine for each pair of a zone and a service in a,
// with the work w for each request, and waits until all daemons are ready.
func (d *deployment) start(c context.Context, a [][2]string, w time.Duration, g configuration) error {
	if e := d.prepare(len(a)); e != nil {
		return e
	}
	d.configure(g)
	seen := map[string]bool{}
	for i, v := range a {
		m := &machine{ip: fmt.Sprintf("%s.%d", d.prefix, i+1), zone: v[0], service: v[1]}
		m.backend = newBackend(fmt.Sprintf("i-%08x", rand.Uint32()), v[1], w, d.record)
		if e := errors.Join(m.backend.listen(m.address(appPort)), d.store.listen(m.address(storePort), m.ip)); e != nil {
			return e
		}
		d.register(m.backend.id, entry{Service: v[1], Address: m.address(appPort), Zone: v[0], State: "ready"})
		d.machines = append(d.machines, m)
		if !seen[v[0]] {
			seen[v[0]] = true
			d.zones = append(d.zones, v[0])
		}
	}
	for _, m := range d.machines {
		if e := d.startDaemon(m); e != nil {
			return e
		}
	}
	return d.awaitReady(c)
}

// prepare reads the deploy file and the template of the settings, and finds loopback
// addresses whose ports are free.
func (d *deployment) prepare(n int) error {
	b, e := os.ReadFile("deploy/system.toml")
	if e != nil {
		return e
	}
	v := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(b)
	if v == nil {
		return errors.New("no run line in deploy/system.toml")
	}
	d.run = strings.Fields(string(v[1]))
	if b, e = os.ReadFile("deploy/settings.toml"); e != nil {
		return e
	}
	d.template = string(b)
	if d.folder, e = os.MkdirTemp("", "review"); e != nil {
		return e
	}
	for range portTries {
		d.prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		if d.free(n) {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (d *deployment) free(n int) bool {
	var a []string
	for i := range n {
		for _, p := range []int{appPort, readyPort, outboundPort, peerPort, metricsPort, storePort} {
			a = append(a, fmt.Sprintf("%s.%d:%d", d.prefix, i+1, p))
		}
	}
	for _, v := range a {
		l, e := net.Listen("tcp", v)
		if e != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// entry is the registration of a backend server.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft string `json:"coldLeft"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

func (d *deployment) register(i string, v entry) {
	v.Version, v.Slots, v.ColdLeft, v.Sequence, v.Born = "v1", slots, "0ms", 1, time.Now().UnixMilli()
	b, _ := json.Marshal(v)
	d.store.put("servers/"+i, b)
	d.record.line("registered   %s: %s", i, b)
}

// settings returns the settings of the daemon of m, from the template.
func (d *deployment) settings(m *machine) string {
	t := regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`).ReplaceAllStringFunc(d.template, func(s string) string {
		s = strings.TrimSuffix(strings.TrimPrefix(s, "{{#zones}}"), "{{/zones}}")
		var b strings.Builder
		for _, z := range d.zones {
			b.WriteString(strings.NewReplacer("{{@}}", z, "{{.}}", "region-1").Replace(s))
		}
		return b.String()
	})
	return strings.NewReplacer(
		"{{ip}}", m.ip, "{{zone}}", m.zone, "{{service}}", m.service,
		"{{listen.outbound}}", m.address(outboundPort), "{{listen.ready}}", m.address(readyPort), "{{appAddr}}", m.address(appPort),
		"{{internalPortRange.0}}", strconv.Itoa(peerPort), "{{provider.address}}", m.address(storePort),
		"{{bounds.coldOverageFactor}}", "1.5", "{{bounds.coldSlack}}", "5", "{{bounds.retryBudgetRatio}}", "0.2",
		"{{bounds.budgetExtraRetries}}", "64", "{{bounds.grace}}", "6s", "{{limits.linkMbps}}", "1000.0", "{{limits.memoryMb}}", "284",
	).Replace(withoutSections(t))
}

// withoutSections leaves out the sections of bounds that this deployment does not have.
func withoutSections(t string) string {
	for {
		i := strings.Index(t, "{{#bounds.")
		if i < 0 {
			return t
		}
		n, _, _ := strings.Cut(t[i+len("{{#"):], "}}")
		c := "{{/" + n + "}}"
		j := strings.Index(t, c)
		if j < i {
			return t
		}
		t = t[:i] + t[j+len(c):]
	}
}

func (d *deployment) settingsFile(m *machine) string {
	return filepath.Join(d.folder, m.ip+".toml")
}

// writeSettings replaces the settings file of m.
func (d *deployment) writeSettings(m *machine) error {
	p := d.settingsFile(m)
	if e := os.WriteFile(p+".new", []byte(d.settings(m)), 0o600); e != nil {
		return e
	}
	return os.Rename(p+".new", p)
}

// startDaemon starts the daemon of m with the command of the deploy file. The platform
// starts it again when it ends.
func (d *deployment) startDaemon(m *machine) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.stopping {
		return nil
	}
	if e := d.writeSettings(m); e != nil {
		return e
	}
	f, e := os.OpenFile(filepath.Join(d.folder, m.ip+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if e != nil {
		return e
	}
	a := append([]string(nil), d.run[1:]...)
	for i := range a {
		a[i] = strings.ReplaceAll(a[i], "/etc/lavenderridge/local.toml", d.settingsFile(m))
	}
	k := exec.Command(d.run[0], a...)
	k.Stdout, k.Stderr = f, f
	k.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	if e := k.Start(); e != nil {
		return errors.Join(e, f.Close())
	}
	x := make(chan struct{})
	m.mutex.Lock()
	m.command, m.exited = k, x
	m.mutex.Unlock()
	d.record.line("started      daemon of %s (%s, %s)", m.ip, m.zone, m.service)
	d.loops.Go(func() { d.supervise(m, k, x, f) })
	return nil
}

// supervise waits for the process k of m to end and starts it again.
func (d *deployment) supervise(m *machine, k *exec.Cmd, x chan struct{}, f *os.File) {
	d.loops.Go(func() { d.limitMemory(m, k, x) })
	e := k.Wait()
	close(x)
	_ = f.Close()
	d.mutex.Lock()
	s := d.stopping
	d.mutex.Unlock()
	if s {
		return
	}
	d.record.line("ended        daemon of %s: %v", m.ip, e)
	m.mutex.Lock()
	m.ends++
	m.mutex.Unlock()
	time.Sleep(restartDelay)
	_ = d.startDaemon(m)
}

// limitMemory kills the process k of m when it exceeds the memory of its machine.
func (d *deployment) limitMemory(m *machine, k *exec.Cmd, x chan struct{}) {
	t := time.NewTicker(memoryCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-x:
			return
		case <-t.C:
		}
		n := residentMemory(k.Process.Pid)
		m.mutex.Lock()
		m.peak = max(m.peak, n)
		m.mutex.Unlock()
		if n > memoryLimit {
			d.record.line("killed       daemon of %s: %d MiB of memory, %d are allowed", m.ip, n>>20, memoryLimit>>20)
			_ = k.Process.Kill()
			return
		}
	}
}

// residentMemory returns the resident memory of the process p in bytes, or 0.
func residentMemory(p int) int64 {
	b, e := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p))
	if e != nil {
		return 0
	}
	a := strings.Fields(string(b))
	if len(a) < 2 {
		return 0
	}
	n, _ := strconv.ParseInt(a[1], 10, 64)
	return n * int64(os.Getpagesize())
}

// awaitReady waits until the daemons of all machines say that they are ready.
func (d *deployment) awaitReady(c context.Context) error {
	c, f := context.WithTimeout(c, readyTimeout)
	defer f()
	for _, m := range d.machines {
		for !ready(m) {
			select {
			case <-c.Done():
				return fmt.Errorf("the daemon of %s is not ready", m.ip)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	d.record.line("all %d daemons are ready", len(d.machines))
	return nil
}

func ready(m *machine) bool {
	l := &http.Client{Timeout: time.Second}
	defer l.CloseIdleConnections()
	p, e := l.Get("http://" + m.address(readyPort) + "/readyz")
	if e != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// close ends all processes and servers that the deployment started.
func (d *deployment) close() {
	d.mutex.Lock()
	d.stopping = true
	d.mutex.Unlock()
	for _, m := range d.machines {
		m.mutex.Lock()
		if m.command != nil {
			_ = m.command.Process.Kill()
		}
		m.mutex.Unlock()
		_ = m.backend.server.Close()
	}
	d.loops.Wait()
	d.store.close()
	if d.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// sleep waits for the time t.
func sleep(c context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-c.Done():
	}
}
