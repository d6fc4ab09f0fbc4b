package lavenderridge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/standin/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// ownerMesh is one service of a few daemons as separate processes.
type ownerMesh struct {
	binary    string
	address   string
	authority *peertls.Authority
	list      lavenderridge.InstanceList
	source    *configservice.Server
	all       []*process
}

func startOwnerMesh(t *testing.T, n int) *ownerMesh {
	t.Helper()
	m := &ownerMesh{binary: buildBinary(t), source: configservice.NewServer(0)}
	h := httptest.NewServer(m.source)
	t.Cleanup(h.Close)
	m.address = strings.TrimPrefix(h.URL, "http://")
	var e error
	if m.authority, e = peertls.NewAuthority(time.Now(), time.Hour); e != nil {
		t.Fatal(e)
	}
	for i := range n {
		m.list.Instances = append(m.list.Instances, lavenderridge.Instance{
			ID: lavenderridge.InstanceID(fmt.Sprintf("roster-%d", i)), DataCentre: "fukuoka", Service: "roster",
			Peer: lavenderridge.Address(freeAddress(t)), State: lavenderridge.InstanceLive,
		})
	}
	m.publishList(t)
	m.source.Publish(lavenderridge.DocumentCatalogue, fmt.Appendf(nil, endToEndCatalogue, lavenderridge.InService))
	for _, i := range m.list.Instances {
		m.all = append(m.all, m.start(t, i))
	}
	for _, p := range m.all {
		awaitAnswer(t, p)
	}
	return m
}

func (m *ownerMesh) start(t *testing.T, n lavenderridge.Instance) *process {
	t.Helper()
	return startProcess(t, m.binary, m.address, m.authority, n)
}

func awaitAnswer(t *testing.T, p *process) {
	t.Helper()
	eventually(t, 10*time.Second, string(p.instance.ID)+" answers", func() bool {
		s, _, _, e := get("http://" + p.caller + "/roster/1")
		return e == nil && s == http.StatusOK
	})
}

func (m *ownerMesh) publishList(t *testing.T) {
	t.Helper()
	b, e := instancesjson.Format(&m.list)
	if e != nil {
		t.Fatal(e)
	}
	m.source.Publish(lavenderridge.DocumentInstanceList, b)
}

// answer is what a caller got.
type answer struct {
	id      lavenderridge.RequestID
	status  int
	outcome string
	reason  string
	err     error
}

// send sends one request with the headers h, as "name: value".
func send(c context.Context, caller, id string, d time.Duration, h ...string) answer {
	c, f := context.WithTimeout(c, d)
	defer f()
	q, e := http.NewRequestWithContext(c, http.MethodPost, "http://"+caller+"/roster/"+id, strings.NewReader(id))
	if e != nil {
		return answer{err: e}
	}
	q.Header.Set(callerhttp.RequestIDHeader, id)
	for _, v := range h {
		k, x, _ := strings.Cut(v, ": ")
		q.Header.Set(k, x)
	}
	p, e := http.DefaultClient.Do(q)
	if e != nil {
		return answer{id: lavenderridge.RequestID(id), err: e}
	}
	defer func() { _ = p.Body.Close() }()
	_, e = io.Copy(io.Discard, p.Body)
	return answer{id: lavenderridge.RequestID(id), status: p.StatusCode, outcome: p.Header.Get(callerhttp.OutcomeHeader), reason: p.Header.Get(callerhttp.ReasonHeader), err: e}
}

// load sends requests from w workers to the callers' addresses until stop.
type load struct {
	mutex   sync.Mutex
	answers []answer
	stop    context.CancelFunc
	group   sync.WaitGroup
}

func startLoad(t *testing.T, w int, duration string, callers ...string) *load {
	c, f := context.WithCancel(t.Context())
	l := &load{stop: f}
	var n atomic.Int64
	for i := range w {
		l.group.Go(func() {
			for c.Err() == nil {
				a := send(t.Context(), callers[i%len(callers)], fmt.Sprintf("%s-%d", t.Name(), n.Add(1)), 5*time.Second, backendserver.DurationHeader+": "+duration)
				l.mutex.Lock()
				l.answers = append(l.answers, a)
				l.mutex.Unlock()
			}
		})
	}
	return l
}

func (l *load) end() []answer {
	l.stop()
	l.group.Wait()
	return l.answers
}

// checkOutcomes compares what callers were told with what the backend servers
// ran, and returns the number of whole answers.
func checkOutcomes(t *testing.T, all []*process, answers []answer) (good int) {
	t.Helper()
	runs := map[lavenderridge.RequestID][]backendserver.Run{}
	for _, p := range all {
		for _, r := range p.backend.RunLog() {
			runs[r.Request] = append(runs[r.Request], r)
		}
		if n := p.backend.Peak(); n > 10 {
			t.Errorf("%s ran %d requests at once; want 10 at most", p.instance.ID, n)
		}
	}
	for _, a := range answers {
		if a.status == http.StatusOK {
			good++
		}
		if a.outcome == lavenderridge.OutcomeNotRun.String() && len(runs[a.id]) > 0 {
			t.Errorf("%s was refused as not run (%s) but ran: %+v", a.id, a.reason, runs[a.id])
		}
	}
	return good
}

// TestKillUnderLoad kills one daemon of three. Callers at the others go on, and
// no refusal tells them a lie.
func TestKillUnderLoad(t *testing.T) {
	m := startOwnerMesh(t, 3)
	l := startLoad(t, 8, "5ms", m.all[0].caller, m.all[1].caller)
	time.Sleep(500 * time.Millisecond)
	m.all[2].kill(t)
	time.Sleep(time.Second)
	before := len(l.end())
	good := checkOutcomes(t, m.all, l.answers)
	a := send(t.Context(), m.all[0].caller, "after-the-kill", 5*time.Second)
	if a.status != http.StatusOK {
		t.Errorf("after the kill: %+v", a)
	}
	t.Logf("%d of %d answered", good, before)
}

// TestRollingReplacement replaces three daemons of four in turn by SIGTERM,
// while callers at the fourth send requests. No request that a backend server
// began is cut, and no caller is told that a request may have run.
func TestRollingReplacement(t *testing.T) {
	m := startOwnerMesh(t, 4)
	l := startLoad(t, 12, "50ms", m.all[3].caller)
	all := m.all
	for _, p := range m.all[:3] {
		time.Sleep(500 * time.Millisecond)
		begun := time.Now()
		if e := p.stop(); e != nil {
			t.Errorf("stop: %v\n%s", e, p.output)
		}
		t.Logf("%s ended after %s, with %d runs", p.instance.ID, time.Since(begun).Round(time.Millisecond), len(p.backend.RunLog()))
		n := m.start(t, p.instance)
		all = append(all, n)
		eventually(t, 10*time.Second, "the new daemon runs requests", func() bool { return len(n.backend.RunLog()) > 1 })
	}
	answers := l.end()
	good := checkOutcomes(t, all, answers)
	for _, p := range all {
		for _, r := range p.backend.RunLog() {
			if r.State != backendserver.RunFinished {
				t.Errorf("%s: run %+v", p.instance.ID, r)
			}
		}
	}
	for _, a := range answers {
		if a.status != http.StatusOK && a.outcome != lavenderridge.OutcomeNotRun.String() {
			t.Errorf("answer %+v", a)
		}
	}
	if 100*good < 98*len(answers) {
		t.Errorf("%d of %d answered", good, len(answers))
	}
	t.Logf("%d of %d answered", good, len(answers))
}

// TestFreezeAndThaw freezes one daemon of three and thaws it. Its backend
// server is never given more than it bears, and it takes work again.
func TestFreezeAndThaw(t *testing.T) {
	m := startOwnerMesh(t, 3)
	l := startLoad(t, 8, "5ms", m.all[0].caller, m.all[1].caller)
	time.Sleep(300 * time.Millisecond)
	p := m.all[2]
	if e := p.command.Process.Signal(syscall.SIGSTOP); e != nil {
		t.Fatal(e)
	}
	time.Sleep(1500 * time.Millisecond)
	if e := p.command.Process.Signal(syscall.SIGCONT); e != nil {
		t.Fatal(e)
	}
	time.Sleep(100 * time.Millisecond)
	answers := l.end()
	good := checkOutcomes(t, m.all, answers)
	n := len(p.backend.RunLog())
	eventually(t, 5*time.Second, "the thawed daemon runs requests", func() bool {
		_ = send(t.Context(), p.caller, fmt.Sprintf("thawed-%d", time.Now().UnixNano()), 2*time.Second)
		return len(p.backend.RunLog()) > n
	})
	t.Logf("%d of %d answered", good, len(answers))
}

// TestCrashingRequest sends a request that crashes each backend server, again
// and again through all daemons, beside innocent load. It may crash a backend
// server twice at most, and the innocent requests go on.
func TestCrashingRequest(t *testing.T) {
	m := startOwnerMesh(t, 2)
	l := startLoad(t, 4, "5ms", m.all[0].caller, m.all[1].caller)
	var last answer
	for i := range 20 {
		last = send(t.Context(), m.all[i%2].caller, "culprit", 2*time.Second, backendserver.CrashHeader+": yes")
		time.Sleep(150 * time.Millisecond)
	}
	answers := l.end()
	good := checkOutcomes(t, nil, answers)
	for _, p := range m.all {
		if n := p.backend.Boots(); n > 3 {
			t.Errorf("%s started %d times; want 3 at most", p.instance.ID, n)
		}
	}
	if last.reason != string(lavenderridge.ReasonQuarantined) {
		t.Errorf("the last resend got %+v; want %s", last, lavenderridge.ReasonQuarantined)
	}
	eventually(t, 5*time.Second, "innocent requests are answered", func() bool {
		return send(t.Context(), m.all[0].caller, "innocent", time.Second).status == http.StatusOK
	})
	t.Logf("%d of %d innocent requests answered; starts %d and %d", good, len(answers), m.all[0].backend.Boots(), m.all[1].backend.Boots())
}
