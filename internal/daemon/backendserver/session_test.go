package backendserver_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

const (
	settleTimeout = 5 * time.Second
	stableTime    = 200 * time.Microsecond
)

// session is an OwnerHandler with a backend server whose responses the golden
// file determines. It implements the handler's clock, recorder, snapshot source
// and backend server.
type session struct {
	customers customerSession
	mutex     sync.Mutex
	now       time.Time
	snapshot  *lavenderridge.Snapshot
	health    lavenderridge.Health
	down      bool
	running   map[lavenderridge.RequestID]chan func() (*lavenderridge.Response, error)
	ended     map[lavenderridge.RequestID]string
	sent      int
	decisions []string
	shown     map[lavenderridge.RequestID]string
	owner     *backendserver.OwnerHandler
	run       lavenderridge.BackendID // the listed run of the backend server
	// customer is that of the requests, and catalogueAge the age of the catalogue.
	customer     lavenderridge.CustomerID
	catalogueAge time.Duration
}

// CatalogueAge implements lavenderridge.Freshness.
func (s *session) CatalogueAge(lavenderridge.Version) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.catalogueAge, true
}

func (s *session) Now() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.now
}

func (s *session) Record(d lavenderridge.Decision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.decisions = append(s.decisions, fmt.Sprintf("decision %s %s: %s", d.Event, d.Subject, d.Reason))
}

func (s *session) Snapshot() *lavenderridge.Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.snapshot
}

func (s *session) Probe(context.Context) (lavenderridge.Health, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return lavenderridge.Health{}, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable, "down")
	}
	return s.health, nil
}

func (s *session) Recheck(c context.Context) (lavenderridge.Health, error) { return s.Probe(c) }

func (s *session) Close() error { return nil }

func (s *session) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	f := make(chan func() (*lavenderridge.Response, error), 1)
	s.mutex.Lock()
	if s.down {
		s.mutex.Unlock()
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable, "down")
	}
	s.running[r.ID] = f
	s.mutex.Unlock()
	select {
	case v := <-f:
		return v()
	case <-c.Done():
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonCancelled, "cancelled")
	}
}

func (s *session) publish(d *datadriven.TestData, v lavenderridge.Service) {
	c := &lavenderridge.Catalogue{
		DataCentres: []lavenderridge.DataCentre{{ID: "fukuoka", State: lavenderridge.InService}},
		Services:    []lavenderridge.Service{v},
	}
	l := &lavenderridge.InstanceList{Instances: []lavenderridge.Instance{{ID: "a", DataCentre: "fukuoka", Service: "billing", State: lavenderridge.InstanceLive}}}
	if d != nil && d.HasArg("out") {
		c.DataCentres[0].State = lavenderridge.OutOfService
	}
	if d != nil && d.HasArg("leaving") {
		l.Instances[0].State = lavenderridge.InstanceLeaving
	}
	l.Instances[0].Backend = s.run
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.snapshot = lavenderridge.NewSnapshot(c, l, lavenderridge.Stamps{}, s.now)
}

func (s *session) send(id, path string, k lavenderridge.Class, deadline time.Duration) {
	r := &lavenderridge.Request{ID: lavenderridge.RequestID(id), Target: "a", Service: "billing", Backend: s.run, Class: k, Method: "POST", Path: path, Customer: s.customer, Deadline: s.Now().Add(deadline)}
	s.mutex.Lock()
	s.sent++
	delete(s.shown, r.ID)
	s.mutex.Unlock()
	go func() {
		p, e := s.owner.Handle(context.Background(), r)
		x := ""
		if e != nil {
			f := lavenderridge.AsRefusal(e)
			x = fmt.Sprintf("refused %s %s, retry after %s (%s)", f.Outcome, f.Reason, f.RetryAfter, f.Detail)
		} else {
			x = fmt.Sprintf("answered %d", p.Status)
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.ended[r.ID] = x
	}()
	s.settle()
}

// settle waits until each request runs, is queued or has ended. A request that is
// about to be refused counts as queued for a moment, so the state must not change
// for stableTime.
func (s *session) settle() {
	var since time.Time
	for d := time.Now().Add(settleTimeout); time.Now().Before(d); runtime.Gosched() {
		if !s.settled() {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) > stableTime {
			return
		}
	}
}

func (s *session) settled() bool {
	l := s.owner.Load("billing")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.running)+len(s.ended)+int(l.Queued) == s.sent && int(l.InFlight) == len(s.running)
}

// release ends a running request with the result of f.
func (s *session) release(id string, f func() (*lavenderridge.Response, error)) {
	s.mutex.Lock()
	c := s.running[lavenderridge.RequestID(id)]
	delete(s.running, lavenderridge.RequestID(id))
	s.mutex.Unlock()
	c <- f
	s.settle()
}

func (s *session) finish(id string, status int) {
	s.release(id, func() (*lavenderridge.Response, error) { return &lavenderridge.Response{Status: status}, nil })
}

func (s *session) lose(id string) {
	s.release(id, func() (*lavenderridge.Response, error) {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonConnectionLost, "connection reset")
	})
}

// work sends n rounds of as many concurrent requests as the limit allows. Each
// request takes d.
func (s *session) work(n int, d time.Duration) {
	for i := range n {
		k := int(s.owner.Load("billing").Limit)
		for j := range k {
			s.send(fmt.Sprintf("w%d.%d", i, j), fmt.Sprintf("/w%d.%d", i, j), lavenderridge.ClassNormal, time.Minute)
		}
		s.sleep(d)
		for j := range k {
			s.finish(fmt.Sprintf("w%d.%d", i, j), 200)
		}
		s.forget()
	}
}

// forget removes the successful requests that work sent.
func (s *session) forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, x := range s.ended {
		if strings.HasPrefix(string(id), "w") && x == "answered 200" {
			delete(s.ended, id)
			s.sent--
		}
	}
}

func (s *session) sleep(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.now = s.now.Add(d)
}

// show returns the requests whose state has changed and the decisions since the
// last call, and the current load.
func (s *session) show() string {
	l := s.owner.Load("billing")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var a []string
	note := func(id lavenderridge.RequestID, x string) {
		if s.shown[id] != x {
			s.shown[id] = x
			a = append(a, fmt.Sprintf("%s %s", id, x))
		}
	}
	for id := range s.running {
		note(id, "runs")
	}
	for id, x := range s.ended {
		note(id, x)
	}
	slices.Sort(a)
	a = append(a, s.decisions...)
	s.decisions = nil
	return strings.Join(append(a, fmt.Sprintf("in flight %d, queued %d, limit %d", l.InFlight, l.Queued, l.Limit)), "\n") + "\n"
}

func (s *session) command(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "open" || d.Cmd == "publish" {
		d.MaybeScanArgs(t, "run", (*string)(&s.run))
	}
	switch d.Cmd {
	case "catalogue", "request":
		return s.customers.customerCommand(t, d)
	case "open":
		v := lavenderridge.Service{ID: "billing", Slots: 10, Connections: 130, Queue: 2}
		d.MaybeScanArgs(t, "slots", &v.Slots)
		d.MaybeScanArgs(t, "queue", &v.Queue)
		s.publish(d, v)
		s.mutex.Lock()
		s.health = lavenderridge.Health{Ready: true, Boot: "1"}
		s.mutex.Unlock()
		var o []policy.LimiterOption
		if d.HasArg("fixed") {
			o = append(o, policy.WithFixedLimit())
		}
		s.owner = backendserver.NewOwnerHandler(s, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} }, s,
			backendserver.WithClock(s), backendserver.WithRecorder(s), backendserver.WithLimiterOptions(o...), backendserver.WithExclusiveWait(0),
			backendserver.WithFreshness(configservice.NewFreshnessLimit(configservice.NewRevocationPlan(5*time.Second), s)))
		s.owner.Check(context.Background())
	case "publish":
		s.publish(d, *s.Snapshot().Service("billing"))
		s.owner.Check(context.Background())
	case "age":
		n := 0
		d.ScanArgs(t, "ms", &n)
		s.mutex.Lock()
		s.catalogueAge = time.Duration(n) * time.Millisecond
		s.mutex.Unlock()
		return "ok\n"
	case "send":
		s.customer = ""
		d.MaybeScanArgs(t, "customer", (*string)(&s.customer))
		k, n, x := lavenderridge.ClassNormal, 1000, ""
		if d.MaybeScanArgs(t, "class", &x); x != "" {
			k, _ = lavenderridge.ParseClass(x)
		}
		d.MaybeScanArgs(t, "deadline", &n)
		for _, id := range d.CmdArgs[0].Vals {
			p := "/" + id
			d.MaybeScanArgs(t, "path", &p)
			s.send(id, p, k, time.Duration(n)*time.Millisecond)
		}
	case "finish":
		n := 200
		d.MaybeScanArgs(t, "status", &n)
		for _, id := range d.CmdArgs[0].Vals {
			s.finish(id, n)
		}
	case "lose":
		for _, id := range d.CmdArgs[0].Vals {
			s.lose(id)
		}
	case "backend":
		s.mutex.Lock()
		s.down = d.HasArg("down")
		d.MaybeScanArgs(t, "boot", &s.health.Boot)
		s.health.Ready = !d.HasArg("unready")
		s.mutex.Unlock()
		return "ok\n"
	case "check":
		s.owner.Check(context.Background())
	case "announce":
		n := lavenderridge.Notice{Leaving: d.HasArg("leaving")}
		n.Limited = d.MaybeScanArgs(t, "limit", (*float64)(&n.Limit))
		if d.HasArg("health") {
			s.mutex.Lock()
			s.health.Notice = n
			s.mutex.Unlock()
			return "ok\n"
		}
		s.owner.HearNotice(&lavenderridge.Request{Backend: s.run}, n)
	case "late":
		r, n := lavenderridge.Request{}, lavenderridge.Notice{Limited: true}
		d.ScanArgs(t, "run", (*string)(&r.Backend))
		d.ScanArgs(t, "limit", (*float64)(&n.Limit))
		s.owner.HearNotice(&r, n)
	case "sleep":
		n := 0
		d.ScanArgs(t, "ms", &n)
		s.sleep(time.Duration(n) * time.Millisecond)
		return "ok\n"
	case "work":
		n, m := 0, 20
		d.ScanArgs(t, "rounds", &n)
		d.MaybeScanArgs(t, "ms", &m)
		s.work(n, time.Duration(m)*time.Millisecond)
	case "stop":
		s.owner.StopAccepting()
	case "drained":
		c, f := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer f()
		return fmt.Sprintf("%t\n", s.owner.Drain(c) == nil && s.owner.WaitIdle(c) == nil)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.show()
}

// TestSessions runs the commands of each golden file on a new OwnerHandler and
// compares the results.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/session", func(t *testing.T, path string) {
		s := &session{
			now: time.Unix(1000, 0), shown: map[lavenderridge.RequestID]string{}, ended: map[lavenderridge.RequestID]string{},
			running: map[lavenderridge.RequestID]chan func() (*lavenderridge.Response, error){},
		}
		datadriven.RunTest(t, path, s.command)
	})
}
