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

// singleServiceFleet is a fleet of daemons of one service in one data centre,
// each a process of its own.
type singleServiceFleet struct {
	binary    string
	address   string
	authority *peertls.Authority
	list      lavenderridge.InstanceList
	source    *configservice.Server
	all       []*process
}

// startSingleServiceFleet starts n daemons and waits until all respond.
func startSingleServiceFleet(t *testing.T, n int) *singleServiceFleet {
	t.Helper()
	m := &singleServiceFleet{binary: buildBinary(t), source: configservice.NewServer(0)}
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
		awaitResponse(t, p)
	}
	return m
}

// start starts the daemon of the instance n.
func (m *singleServiceFleet) start(t *testing.T, n lavenderridge.Instance) *process {
	t.Helper()
	return startProcess(t, m.binary, m.address, m.authority, n)
}

// awaitResponse waits until a request sent to p is successful.
func awaitResponse(t *testing.T, p *process) {
	t.Helper()
	eventually(t, 10*time.Second, string(p.instance.ID)+" responds", func() bool {
		s, _, _, e := get("http://" + p.caller + "/roster/1")
		return e == nil && s == http.StatusOK
	})
}

// publishList publishes the instance list.
func (m *singleServiceFleet) publishList(t *testing.T) {
	t.Helper()
	b, e := instancesjson.Format(&m.list)
	if e != nil {
		t.Fatal(e)
	}
	m.source.Publish(lavenderridge.DocumentInstanceList, b)
}

// callResult is the result of a request as its caller sees it.
type callResult struct {
	id      lavenderridge.RequestID
	status  int
	outcome string
	reason  string
	err     error
}

// send sends the request id to a caller address with the timeout d and the
// headers h, each as "name: value".
func send(c context.Context, caller, id string, d time.Duration, h ...string) callResult {
	c, f := context.WithTimeout(c, d)
	defer f()
	q, e := http.NewRequestWithContext(c, http.MethodPost, "http://"+caller+"/roster/"+id, strings.NewReader(id))
	if e != nil {
		return callResult{err: e}
	}
	q.Header.Set(callerhttp.RequestIDHeader, id)
	for _, v := range h {
		k, x, _ := strings.Cut(v, ": ")
		q.Header.Set(k, x)
	}
	p, e := http.DefaultClient.Do(q)
	if e != nil {
		return callResult{id: lavenderridge.RequestID(id), err: e}
	}
	defer func() { _ = p.Body.Close() }()
	_, e = io.Copy(io.Discard, p.Body)
	return callResult{id: lavenderridge.RequestID(id), status: p.StatusCode, outcome: p.Header.Get(callerhttp.OutcomeHeader), reason: p.Header.Get(callerhttp.ReasonHeader), err: e}
}

// loadGenerator sends requests concurrently until stopAndWait and collects
// their results.
type loadGenerator struct {
	mutex   sync.Mutex
	results []callResult
	stop    context.CancelFunc
	group   sync.WaitGroup
}

// startLoad sends requests from w workers to the given caller addresses. Each
// request takes the given duration at the backend server.
func startLoad(t *testing.T, w int, duration string, callers ...string) *loadGenerator {
	c, f := context.WithCancel(t.Context())
	l := &loadGenerator{stop: f}
	var n atomic.Int64
	for i := range w {
		l.group.Go(func() {
			for c.Err() == nil {
				a := send(t.Context(), callers[i%len(callers)], fmt.Sprintf("%s-%d", t.Name(), n.Add(1)), 5*time.Second, backendserver.DurationHeader+": "+duration)
				l.mutex.Lock()
				l.results = append(l.results, a)
				l.mutex.Unlock()
			}
		})
	}
	return l
}

// stopAndWait ends the load, waits for the requests in flight and returns all
// results.
func (l *loadGenerator) stopAndWait() []callResult {
	l.stop()
	l.group.Wait()
	return l.results
}

// checkOutcomes checks that no request that was refused as NotRun has run at a
// backend server of all, and that none of them exceeded its 10 slots. It
// returns the number of successful requests.
func checkOutcomes(t *testing.T, all []*process, results []callResult) (good int) {
	t.Helper()
	runs := map[lavenderridge.RequestID][]backendserver.Run{}
	for _, p := range all {
		for _, r := range p.backend.RunLog() {
			runs[r.Request] = append(runs[r.Request], r)
		}
		if n := p.backend.Peak(); n > 10 {
			t.Errorf("%s ran %d requests concurrently; want at most 10", p.instance.ID, n)
		}
	}
	for _, a := range results {
		if a.status == http.StatusOK {
			good++
		}
		if a.outcome == lavenderridge.OutcomeNotRun.String() && len(runs[a.id]) > 0 {
			t.Errorf("%s was refused as NotRun (%s) but ran: %+v", a.id, a.reason, runs[a.id])
		}
	}
	return good
}

// TestKillUnderLoad guards against refusals with a wrong outcome after a crash.
// One of three daemons is killed under load. No request that was refused as
// NotRun may have run, and the other daemons must still respond.
func TestKillUnderLoad(t *testing.T) {
	m := startSingleServiceFleet(t, 3)
	l := startLoad(t, 8, "5ms", m.all[0].caller, m.all[1].caller)
	time.Sleep(500 * time.Millisecond)
	m.all[2].kill(t)
	time.Sleep(time.Second)
	before := len(l.stopAndWait())
	good := checkOutcomes(t, m.all, l.results)
	a := send(t.Context(), m.all[0].caller, "after-the-kill", 5*time.Second)
	if a.status != http.StatusOK {
		t.Errorf("after the kill: %+v", a)
	}
	t.Logf("%d of %d requests successful", good, before)
}

// TestRollingReplacement guards against planned shutdowns that interrupt
// requests. Three of four daemons are replaced one after another by SIGTERM,
// while callers send requests to the fourth. Every run that a backend server
// began must finish, every failed request must be refused as NotRun, and 98%
// must be successful.
func TestRollingReplacement(t *testing.T) {
	m := startSingleServiceFleet(t, 4)
	l := startLoad(t, 12, "50ms", m.all[3].caller)
	all := m.all
	for _, p := range m.all[:3] {
		time.Sleep(500 * time.Millisecond)
		begun := time.Now()
		if e := p.stop(); e != nil {
			t.Errorf("planned shutdown: %v\n%s", e, p.output)
		}
		t.Logf("%s ended after %s, with %d runs", p.instance.ID, time.Since(begun).Round(time.Millisecond), len(p.backend.RunLog()))
		n := m.start(t, p.instance)
		all = append(all, n)
		eventually(t, 10*time.Second, "the new daemon runs requests", func() bool { return len(n.backend.RunLog()) > 1 })
	}
	results := l.stopAndWait()
	good := checkOutcomes(t, all, results)
	for _, p := range all {
		for _, r := range p.backend.RunLog() {
			if r.State != backendserver.RunFinished {
				t.Errorf("%s: run %+v", p.instance.ID, r)
			}
		}
	}
	for _, a := range results {
		if a.status != http.StatusOK && a.outcome != lavenderridge.OutcomeNotRun.String() {
			t.Errorf("result %+v; want a success or NotRun", a)
		}
	}
	if 100*good < 98*len(results) {
		t.Errorf("%d of %d requests successful", good, len(results))
	}
	t.Logf("%d of %d requests successful", good, len(results))
}

// TestPauseAndResume guards against an overloaded or idle backend server after
// its daemon was paused. One of three daemons is paused by SIGSTOP and resumed
// by SIGCONT under load. Its backend server must never run more requests than it
// has slots, and must run requests again after the pause.
func TestPauseAndResume(t *testing.T) {
	m := startSingleServiceFleet(t, 3)
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
	results := l.stopAndWait()
	good := checkOutcomes(t, m.all, results)
	n := len(p.backend.RunLog())
	eventually(t, 5*time.Second, "the resumed daemon runs requests", func() bool {
		_ = send(t.Context(), p.caller, fmt.Sprintf("resumed-%d", time.Now().UnixNano()), 2*time.Second)
		return len(p.backend.RunLog()) > n
	})
	t.Logf("%d of %d requests successful", good, len(results))
}

// TestCrashingRequest guards against a request that crashes one backend server
// after another. The request "culprit" crashes each backend server that runs
// it, and is sent 20 times through both daemons beside innocent requests. It
// may crash a backend server at most twice before it is quarantined, and
// innocent requests must be successful afterwards.
func TestCrashingRequest(t *testing.T) {
	m := startSingleServiceFleet(t, 2)
	l := startLoad(t, 4, "5ms", m.all[0].caller, m.all[1].caller)
	var last callResult
	for i := range 20 {
		last = send(t.Context(), m.all[i%2].caller, "culprit", 2*time.Second, backendserver.CrashHeader+": yes")
		time.Sleep(150 * time.Millisecond)
	}
	results := l.stopAndWait()
	good := checkOutcomes(t, nil, results)
	for _, p := range m.all {
		if n := p.backend.Boots(); n > 3 {
			t.Errorf("%s started %d times; want at most 3", p.instance.ID, n)
		}
	}
	if last.reason != string(lavenderridge.ReasonQuarantined) {
		t.Errorf("the last result is %+v; want the reason %s", last, lavenderridge.ReasonQuarantined)
	}
	eventually(t, 5*time.Second, "innocent requests are successful", func() bool {
		return send(t.Context(), m.all[0].caller, "innocent", time.Second).status == http.StatusOK
	})
	t.Logf("%d of %d innocent requests successful; backend servers started %d and %d times", good, len(results), m.all[0].backend.Boots(), m.all[1].backend.Boots())
}
