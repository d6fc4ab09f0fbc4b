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

// payment is one key with what its submissions were answered.
type payment struct {
	key      string
	answered string // the first answer's body
	notRun   int
	unknown  int
	faults   []string
}

// payments submits keys through any daemon and sends many of them again.
type payments struct {
	mutex   sync.Mutex
	entries []string
	all     []*payment
	repeats atomic.Int64
}

func (p *payments) entry() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.entries[rand.N(len(p.entries))]
}

func (p *payments) setEntries(l []*process) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.entries = nil
	for _, n := range l {
		p.entries = append(p.entries, n.caller)
	}
}

func (p *payments) pay(c *http.Client) {
	v := &payment{key: uuid.Must(uuid.NewV7()).String()}
	p.mutex.Lock()
	p.all = append(p.all, v)
	p.mutex.Unlock()
	for range 3 {
		p.submit(c, v)
		if v.answered != "" && rand.N(3) > 0 {
			return
		}
	}
}

func (p *payments) submit(c *http.Client, v *payment) {
	q, e := http.NewRequest(http.MethodPost, "http://"+p.entry()+"/payments", strings.NewReader("pay "+v.key))
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
		if v.answered != "" {
			p.repeats.Add(1)
			if v.answered != string(b) {
				v.faults = append(v.faults, fmt.Sprintf("answered %q and then %q", v.answered, b))
			}
		}
		v.answered = string(b)
	case r.Header.Get(callerhttp.OutcomeHeader) == "NotRun":
		v.notRun++
		if v.answered != "" {
			v.faults = append(v.faults, "NotRun after an answer")
		}
	default:
		v.unknown++
	}
}

// TestAtMostOnce kills, replaces and freezes daemons while payments are sent
// and sent again. The stand-ins' record of runs is the oracle.
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
	var daemons, ever []*process
	start := func(n lavenderridge.Instance) *process {
		p := startProcess(t, binary, address, a, n)
		ever = append(ever, p)
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
	p.setEntries(daemons)
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
	daemons[0].kill(t) // and the process starts again with nothing
	time.Sleep(300 * time.Millisecond)
	daemons[0] = start(daemons[0].instance)
	p.setEntries(daemons)
	time.Sleep(time.Second)

	next := instance(4) // a rolling replacement of the second
	l.Instances[1].State = lavenderridge.InstanceLeaving
	l.Instances = append(l.Instances, next)
	publish()
	replacement := start(next)
	p.setEntries([]*process{daemons[0], daemons[2], daemons[3]})
	time.Sleep(500 * time.Millisecond)
	if e := daemons[1].stop(); e != nil {
		t.Errorf("stop: %v\n%s", e, daemons[1].output)
	}
	l.Instances = append(l.Instances[:1:1], l.Instances[2:]...)
	publish()
	daemons[1] = replacement
	p.setEntries(daemons)
	time.Sleep(500 * time.Millisecond)

	frozen := daemons[2].command.Process
	_ = frozen.Signal(syscall.SIGSTOP)
	time.Sleep(2500 * time.Millisecond)
	_ = frozen.Signal(syscall.SIGCONT)
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	w.Wait()
	for _, n := range daemons { // a planned stop has been seen above
		n.kill(t)
	}

	runs := map[string]int{}
	for _, n := range ever {
		for _, r := range n.backend.RunLog() {
			runs[string(r.Key)]++
		}
	}
	answered, notRun, unknown := 0, 0, 0
	for _, v := range p.all {
		for _, f := range v.faults {
			t.Errorf("%s: %s", v.key, f)
		}
		n := runs[v.key]
		if n > 1 {
			t.Errorf("%s ran %d times", v.key, n)
		}
		switch {
		case v.answered != "":
			answered++
			if n == 0 {
				t.Errorf("%s was answered and did not run", v.key)
			}
		case v.unknown > 0:
			unknown++
		default:
			notRun++
			if n > 0 {
				t.Errorf("%s was refused with NotRun and ran", v.key)
			}
		}
	}
	t.Logf("%d keys: %d answered, %d NotRun, %d Unknown; %d answers repeated", len(p.all), answered, notRun, unknown, p.repeats.Load())
	if answered < len(p.all)/2 || p.repeats.Load() == 0 {
		t.Error("too few keys were answered for the test to mean much")
	}
}
