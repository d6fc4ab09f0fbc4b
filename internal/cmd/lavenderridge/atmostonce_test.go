package lavenderridge_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/standin/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

const paymentEntry = `
[[Entries]]
ID = "payments"
Owner = "courses"
Class = "Critical"
Service = "roster"
PathPrefix = "/payments"
Idempotent = false
Timeout = "1s"
`

// payment is one idempotency key with the outcomes of the requests that were
// sent with it.
type payment struct {
	key        string
	response   string // body of the last successful response
	notRun     int
	unknown    int
	violations []string
}

// payments sends requests with idempotency keys to random daemons, many of them
// more than once.
type payments struct {
	mutex             sync.Mutex
	callerAddresses   []string
	all               []*payment
	repeatedResponses atomic.Int64
}

// randomCaller returns the caller address of a random daemon.
func (p *payments) randomCaller() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.callerAddresses[rand.N(len(p.callerAddresses))]
}

// setCallers sets the daemons that receive requests from now on.
func (p *payments) setCallers(l []*process) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.callerAddresses = nil
	for _, n := range l {
		p.callerAddresses = append(p.callerAddresses, n.caller)
	}
}

// pay sends one payment with a new key up to three times. After a successful
// response it is sent again in one of three cases.
func (p *payments) pay(c *http.Client) {
	v := &payment{key: uuid.Must(uuid.NewV7()).String()}
	p.mutex.Lock()
	p.all = append(p.all, v)
	p.mutex.Unlock()
	for range 3 {
		p.submit(c, v)
		if v.response != "" && rand.N(3) > 0 {
			return
		}
	}
}

// submit sends the payment v once and records the outcome. Two different
// successful responses, and NotRun after a successful response, are violations.
func (p *payments) submit(c *http.Client, v *payment) {
	q, e := http.NewRequest(http.MethodPost, "http://"+p.randomCaller()+"/payments", strings.NewReader("pay "+v.key))
	if e != nil {
		panic(e)
	}
	q.Header.Set(callerhttp.IdempotencyKeyHeader, v.key)
	q.Header.Set(callerhttp.RequestIDHeader, v.key)
	r, e := c.Do(q)
	if e != nil {
		v.unknown++
		return
	}
	defer func() { _ = r.Body.Close() }()
	b, e := io.ReadAll(r.Body)
	switch {
	case e != nil:
		v.unknown++
	case r.StatusCode == http.StatusOK:
		if v.response != "" {
			p.repeatedResponses.Add(1)
			if v.response != string(b) {
				v.violations = append(v.violations, fmt.Sprintf("response %q, and later %q", v.response, b))
			}
		}
		v.response = string(b)
	case r.Header.Get(callerhttp.OutcomeHeader) == "NotRun":
		v.notRun++
		if v.response != "" {
			v.violations = append(v.violations, "NotRun after a successful response")
		}
	default:
		v.unknown++
	}
}

// TestAtMostOnce guards against keyed requests that run twice, or whose
// reported outcome is wrong, when daemons fail. Payments are sent repeatedly
// while one daemon is killed, one is replaced and one is paused. The outcomes
// are then compared with the runs that the stand-in backend servers recorded.
func TestAtMostOnce(t *testing.T) {
	binary := buildBinary(t)
	source := configservice.NewServer(0)
	h := httptest.NewServer(source)
	t.Cleanup(h.Close)
	a, e := peertls.NewAuthority(time.Now(), time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	instance := func(i int) lavenderridge.Instance {
		d := []lavenderridge.DataCentreID{"fukuoka", "kumamoto"}[i%2]
		return lavenderridge.Instance{
			ID: lavenderridge.InstanceID(fmt.Sprintf("roster-%d", i)), DataCentre: d, Service: "roster",
			Peer: lavenderridge.Address(freeAddress(t)), State: lavenderridge.InstanceLive,
		}
	}
	l := &lavenderridge.InstanceList{}
	publish := func() {
		b, e := instancesjson.Format(l)
		if e != nil {
			t.Fatal(e)
		}
		source.Publish(lavenderridge.DocumentInstanceList, b)
	}
	address := strings.TrimPrefix(h.URL, "http://")
	source.Publish(lavenderridge.DocumentCatalogue, fmt.Appendf(nil, endToEndCatalogue+paymentEntry, lavenderridge.InService))
	var daemons, startedProcesses []*process
	start := func(n lavenderridge.Instance) *process {
		p := startProcess(t, binary, address, a, n)
		startedProcesses = append(startedProcesses, p)
		return p
	}
	for i := range 4 {
		l.Instances = append(l.Instances, instance(i))
	}
	publish()
	for _, n := range l.Instances {
		daemons = append(daemons, start(n))
	}
	active := func(p *process) {
		t.Helper()
		eventually(t, 10*time.Second, string(p.instance.ID)+" active", func() bool {
			_, _, x, e := get("http://" + p.operator + "/status")
			return e == nil && strings.Contains(x, `"Home":{"Active":true`)
		})
	}
	for _, p := range daemons {
		active(p)
	}

	var w sync.WaitGroup
	stop := make(chan struct{})
	p := &payments{}
	p.setCallers(daemons)
	for range 8 {
		w.Go(func() {
			c := &http.Client{Timeout: 1500 * time.Millisecond}
			for {
				select {
				case <-stop:
					return
				case <-time.After(4 * time.Millisecond):
					p.pay(c)
				}
			}
		})
	}

	time.Sleep(500 * time.Millisecond)
	daemons[0].kill(t) // its replacement starts without any state
	time.Sleep(300 * time.Millisecond)
	daemons[0] = start(daemons[0].instance)
	p.setCallers(daemons)
	time.Sleep(time.Second)

	next := instance(4) // replaces the second daemon by a planned shutdown
	l.Instances[1].State = lavenderridge.InstanceLeaving
	l.Instances = append(l.Instances, next)
	publish()
	replacement := start(next)
	p.setCallers([]*process{daemons[0], daemons[2], daemons[3]})
	time.Sleep(500 * time.Millisecond)
	if e := daemons[1].stop(); e != nil {
		t.Errorf("planned shutdown: %v\n%s", e, daemons[1].output)
	}
	l.Instances = append(l.Instances[:1:1], l.Instances[2:]...)
	publish()
	daemons[1] = replacement
	p.setCallers(daemons)
	time.Sleep(500 * time.Millisecond)

	frozen := daemons[2].command.Process
	_ = frozen.Signal(syscall.SIGSTOP)
	time.Sleep(2500 * time.Millisecond)
	_ = frozen.Signal(syscall.SIGCONT)
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	w.Wait()
	for _, n := range daemons { // the planned shutdown has been checked above
		n.kill(t)
	}

	runs := map[string]int{}
	for _, n := range startedProcesses {
		for _, r := range n.backend.RunLog() {
			runs[string(r.Key)]++
		}
	}
	answered, notRun, unknown := 0, 0, 0
	for _, v := range p.all {
		for _, f := range v.violations {
			t.Errorf("%s: %s", v.key, f)
		}
		n := runs[v.key]
		if n > 1 {
			t.Errorf("%s ran %d times", v.key, n)
		}
		switch {
		case v.response != "":
			answered++
			if n == 0 {
				t.Errorf("%s had a successful response but did not run", v.key)
			}
		case v.unknown > 0:
			unknown++
		default:
			notRun++
			if n > 0 {
				t.Errorf("%s was refused as NotRun but ran", v.key)
			}
		}
	}
	t.Logf("%d keys: %d successful, %d NotRun, %d Unknown; %d repeated responses", len(p.all), answered, notRun, unknown, p.repeatedResponses.Load())
	if answered < len(p.all)/2 || p.repeatedResponses.Load() == 0 {
		t.Error("too few successful or repeated responses for a meaningful test")
	}
}
