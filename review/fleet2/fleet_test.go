//go:build review

package fleet2

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// The bounds of the deployment, which are those of shiranami-kyushu.
const (
	grace       = 6 * time.Second
	coldFactor  = 1.5
	coldSlack   = 5
	idleTimeout = "15000ms"
)

const (
	host         = "hulo84.example"
	startTimeout = 10 * time.Second
	checkPeriod  = time.Second
	outboundPort = 8304
)

var errNotReady = errors.New("the daemons did not get ready")

// fleet is a deployment on loopback addresses.
type fleet struct {
	root, dir string
	network   string // first two numbers of its addresses
	store     *store
	machines  []*machine
	zones     []string
	record    *os.File
	began     time.Time

	mutex    sync.Mutex
	ids      int
	arrivals []arrival
	runs     map[string]int
	sent     []*request
	clients  sync.WaitGroup
}

// machine is a machine with a daemon and a target.
type machine struct {
	fleet     *fleet
	name, ip  string
	zone      string
	target    *target
	service   string
	mutex     sync.Mutex
	process   *exec.Cmd
	ready     bool
	transport *http.Transport
}

// request is a request that a client sent.
type request struct {
	id, path string
	method   string
	machine  *machine
	service  string // of the machine at that time
	sentAt   time.Time
	endedAt  time.Time
	status   int
	err      string
}

// newFleet starts the store and a machine in one of z zones for each name in services.
func newFleet(c string, z int, services ...string) (*fleet, error) {
	root, err := filepath.Abs(os.Getenv("REPOSITORY"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fleet2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, runs: map[string]int{}, began: time.Now()}
	if f.record, err = os.Create(filepath.Join(c, "record.txt")); err != nil {
		return nil, err
	}
	for range 20 {
		f.network = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		if f.store, err = newStore(f.network + ".0.1:8309"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	for i := range z {
		f.zones = append(f.zones, fmt.Sprintf("kyu-%c", 'a'+i))
	}
	for i, s := range services {
		m := &machine{
			fleet: f, name: fmt.Sprintf("sidecar-%s-%d", f.zones[i%z], i/z+1), zone: f.zones[i%z], service: s,
			ip:        fmt.Sprintf("%s.%d.%d", f.network, i%z+1, i/z+1),
			transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 5 * time.Second, DisableCompression: true},
		}
		m.target = &target{fleet: f, machine: m, service: s, work: 20 * time.Millisecond, body: bytes.Repeat([]byte("x"), 400)}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// start starts the targets and the daemons, and returns when all daemons are ready.
func (f *fleet) start(config map[string]any) error {
	f.store.put("op/config", config)
	for _, m := range f.machines {
		if err := m.target.start(0); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.startDaemon(); err != nil {
			return err
		}
	}
	for t := time.Now(); time.Since(t) < startTimeout; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, m := range f.machines {
			if m.checkReady() {
				n++
			}
		}
		if n == len(f.machines) {
			f.note("%d daemons are ready", n)
			for _, m := range f.machines {
				go m.watchReady()
			}
			return nil
		}
	}
	return errNotReady
}

// close ends all processes.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
	}
	_ = f.record.Close()
	_ = os.RemoveAll(f.dir)
}

// note writes a line to the record.
func (f *fleet) note(format string, a ...any) {
	_, _ = fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, a...))
}

func (f *fleet) newID() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ids++
	return fmt.Sprintf("i-%08x", 0x5a000000+f.ids*7919)
}

func (f *fleet) arrived(a arrival) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.arrivals = append(f.arrivals, a)
}

func (f *fleet) ran(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.runs[id]++
}

// readers returns the machines whose daemons read the store, by the rule of the project.
func (f *fleet) readers(config map[string]any) []*machine {
	l, c := &lavenderridge.InstanceList{}, &lavenderridge.Catalogue{}
	for _, m := range f.machines {
		l.Instances = append(l.Instances, lavenderridge.Instance{
			ID: lavenderridge.InstanceID(m.ip), DataCentre: lavenderridge.DataCentreID(m.zone), Service: lavenderridge.ServiceID(m.service), State: lavenderridge.InstanceLive,
		})
	}
	for _, s := range config["services"].([]map[string]any) {
		c.Services = append(c.Services, lavenderridge.Service{ID: lavenderridge.ServiceID(s["name"].(string))})
	}
	var a []*machine
	for _, z := range f.zones {
		r := configservice.Readers(l, c, lavenderridge.DataCentreID(z))
		for _, m := range f.machines {
			if slices.Contains(r, lavenderridge.InstanceID(m.ip)) {
				a = append(a, m)
			}
		}
	}
	return a
}

// newConfig returns a configuration of the version n whose routes lead from path prefixes
// to services.
func newConfig(n int, services []string, routes map[string]string, kind string) map[string]any {
	var a []map[string]any
	for _, s := range services {
		a = append(a, map[string]any{"name": s, "healthPath": healthPath, "maxConnections": 130, "protocol": "h1", "tls": false, "coldStart": coldStart.String(), "coldPerS": coldPerS})
	}
	var p []map[string]any
	for k, s := range routes {
		p = append(p, map[string]any{"name": "r-" + strings.Trim(k, "/"), "pathPrefix": k, "routeType": kind, "timeout": "2000ms", "aim": "500ms", "priority": 1, "service": s, "attempts": 2})
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", n), "services": a,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": idleTimeout},
		"virtualHosts": []map[string]any{{"host": host, "paths": p}},
	}
}

func (m *machine) app() string      { return m.ip + ":8301" }
func (m *machine) outbound() string { return fmt.Sprintf("%s:%d", m.ip, outboundPort) }
func (m *machine) settings() string { return filepath.Join(m.fleet.dir, m.name+".toml") }

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// writeSettings fills in the template of the deploy file.
func (m *machine) writeSettings() error {
	b, err := os.ReadFile(filepath.Join(m.fleet.root, "deploy", "settings.toml"))
	if err != nil {
		return err
	}
	v := map[string]string{
		"ip": m.ip, "zone": m.zone, "service": m.service, "listen.outbound": m.outbound(), "listen.ready": m.ip + ":8302",
		"internalPortRange.0": "7620", "appAddr": m.app(), "bounds.coldOverageFactor": fmt.Sprint(coldFactor), "bounds.coldSlack": fmt.Sprint(coldSlack),
		"provider.address": m.fleet.network + ".0.1:8309", "bounds.retryBudgetRatio": "0.2", "bounds.budgetExtraRetries": "64",
		"limits.linkMbps": "1000.0", "limits.memoryMb": "284", "limits.maxFds": "4100", "bounds.grace": grace.String(),
	}
	s := sectionPattern.ReplaceAllStringFunc(string(b), func(s string) string {
		p := sectionPattern.FindStringSubmatch(s)
		if p[1] != "zones" {
			return ""
		}
		var r strings.Builder
		for _, z := range m.fleet.zones {
			r.WriteString(strings.NewReplacer("{{@}}", z, "{{.}}", "kyushu").Replace(p[2]))
		}
		return r.String()
	})
	s = valuePattern.ReplaceAllStringFunc(s, func(s string) string { return v[strings.Trim(s, "{}")] })
	return os.WriteFile(m.settings(), []byte(s), 0o600)
}

// startDaemon writes the settings and starts the daemon.
func (m *machine) startDaemon() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := exec.CommandContext(context.Background(), filepath.Join(m.fleet.root, "target", "lavenderridge"), "serve", m.settings())
	p.Dir, p.Stdout, p.Stderr = m.fleet.root, log, log
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAVENDERRIDGE_SETTINGS=" + m.settings()}
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	m.mutex.Lock()
	m.process = p
	m.mutex.Unlock()
	return nil
}

// signal sends the signal s to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// kill kills the daemon and waits for its end.
func (m *machine) kill() {
	m.mutex.Lock()
	p := m.process
	m.process = nil
	m.mutex.Unlock()
	if p != nil {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

func (m *machine) checkReady() bool {
	c := http.Client{Timeout: checkPeriod}
	r, err := c.Get("http://" + m.ip + ":8302/readyz")
	o := err == nil && r.StatusCode == http.StatusOK
	if err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ready = o
	return o
}

// watchReady asks the daemon each second whether it is ready. After two misses its clients
// send nothing.
func (m *machine) watchReady() {
	for misses := 0; ; time.Sleep(checkPeriod) {
		o := m.checkReady()
		if o {
			misses = 0
		} else {
			misses++
		}
		m.mutex.Lock()
		m.ready = misses < 2
		m.mutex.Unlock()
	}
}

func (m *machine) isReady() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.ready
}

// load sends requests for the path p from the machine, n a second, until c ends.
func (m *machine) load(c context.Context, method, path string, n int) {
	m.fleet.clients.Go(func() {
		t := time.NewTicker(time.Second / time.Duration(n))
		defer t.Stop()
		for {
			select {
			case <-c.Done():
				return
			case <-t.C:
			}
			if m.isReady() {
				m.fleet.clients.Go(func() { m.send(method, path) })
			}
		}
	})
}

// send sends one request.
func (m *machine) send(method, path string) *request {
	id := fmt.Sprintf("%016x", rand.Uint64())
	v := &request{id: id, path: path, method: method, machine: m, service: m.service}
	c, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("y", 1200))
	}
	r, err := http.NewRequestWithContext(c, method, "http://"+m.outbound()+path+id, body)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "2000")
	v.sentAt = time.Now()
	p, err := m.transport.RoundTrip(r)
	if err == nil {
		_, err = io.Copy(io.Discard, p.Body)
		_ = p.Body.Close()
		v.status = p.StatusCode
	}
	if err != nil {
		v.err = err.Error()
	}
	v.endedAt = time.Now()
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	m.fleet.sent = append(m.fleet.sent, v)
	return v
}

// writeRecord writes what was sent, answered and run.
func (f *fleet) writeRecord() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	slices.SortFunc(f.sent, func(a, b *request) int { return a.sentAt.Compare(b.sentAt) })
	for _, r := range f.sent {
		_, _ = fmt.Fprintf(f.record, "%8.3f  sent %s %s %s at %s, ended after %.3f s: %d %s, runs %d\n",
			r.sentAt.Sub(f.began).Seconds(), r.id, r.method, r.path, r.machine.name, r.endedAt.Sub(r.sentAt).Seconds(), r.status, r.err, f.runs[r.id])
	}
	for _, a := range f.arrivals {
		_, _ = fmt.Fprintf(f.record, "%8.3f  arrived %s %s at %s of %s, caller %s\n", a.at.Sub(f.began).Seconds(), a.id, a.path, a.target, a.service, a.caller)
	}
}
