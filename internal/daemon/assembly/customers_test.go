package assembly_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/standin/factsource"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
	"github.com/lavenderridge/lavenderridge/platform"
)

// platformProtocols is a stand-in for the platform's store with the platform's protocols of
// callers and backend servers.
type platformProtocols struct {
	factsource.Adapter
}

func (platformProtocols) Callers() lavenderridge.CallerProtocol {
	return platform.Adapter{}.Callers()
}

func (platformProtocols) Backends() lavenderridge.BackendProtocol {
	return platform.Adapter{}.Backends()
}

// lockedBuffer is a buffer for the logs of several daemons.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.String()
}

// customerFleet is two daemons, "a" and "b", and the backend server of "b", which runs the
// requests of both. It keeps what that has received and what the daemons have written.
type customerFleet struct {
	t        *testing.T
	source   *factsource.Source
	daemons  map[string]*assembly.Daemon
	logs     lockedBuffer
	received chan http.Header
	version  lavenderridge.Version
	// revokeWithin is the time within which revocations hold.
	revokeWithin time.Duration
}

func newCustomerFleet(t *testing.T, w time.Duration) *customerFleet {
	t.Helper()
	f := &customerFleet{t: t, revokeWithin: w, source: factsource.NewSource(), daemons: map[string]*assembly.Daemon{}, received: make(chan http.Header, 1)}
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Instance-Id", "i-1")
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		if q.URL.Path == "/run" {
			f.received <- q.Header.Clone()
		}
	}))
	t.Cleanup(b.Close)
	for _, n := range []string{"a", "b"} {
		f.start(n, lavenderridge.Address(b.Listener.Addr().String()))
	}
	f.publish("")
	return f
}

func (f *customerFleet) start(n string, a lavenderridge.Address) {
	f.t.Helper()
	i, s := lavenderridge.InstanceID(n), lavenderridge.ServiceID("front")
	if n == "b" {
		s = "roster"
	}
	k, e := peertls.NewEphemeralKeys(peertls.Identity{Instance: i, DataCentre: "dc"}, time.Now())
	if e != nil {
		f.t.Fatal(e)
	}
	l := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&f.logs), zap.DebugLevel))
	c, x := context.WithCancel(f.t.Context())
	d, e := assembly.NewDaemon(c, assembly.Config{
		Instance: i, DataCentre: "dc", Service: s, Backend: a, Connections: 20,
		Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0", MaxBody: lavenderridge.Mebibyte,
		StopTimeout: 2 * time.Second, FleetSize: 2, RetryRatio: 0.2, RetryExtra: 64, ColdFactor: 1,
		RevokeWithin: f.revokeWithin,
	}, k, assembly.WithAdapter(platformProtocols{factsource.Adapter{Source: f.source}}), assembly.WithLogger(l))
	if e != nil {
		f.t.Fatal(e)
	}
	done := make(chan error, 1)
	go func() { done <- d.Run(c) }()
	f.t.Cleanup(func() {
		x()
		if e := <-done; e != nil {
			f.t.Error(e)
		}
	})
	f.daemons[n] = d
	f.source.Put(lavenderridge.Fact{Key: lavenderridge.FactKey("i/" + n), Instance: &lavenderridge.Instance{
		ID: i, DataCentre: "dc", Service: s, Peer: d.PeerAddress(), State: lavenderridge.InstanceLive, Slots: 9,
	}})
}

// publish publishes a catalogue with the customers in the lines of s, which have a name,
// its keys and perhaps a quota (rate=2 burst=1), and waits until both daemons have it.
func (f *customerFleet) publish(s string) {
	f.t.Helper()
	f.version++
	c := &lavenderridge.Catalogue{
		DataCentres: []lavenderridge.DataCentre{{ID: "dc", Region: "r", State: lavenderridge.InService}},
		Services:    []lavenderridge.Service{{ID: "front", Slots: 1, Connections: 20, Queue: 20}, {ID: "roster", Slots: 1, Connections: 20, Queue: 20}},
	}
	for _, p := range []lavenderridge.EntryID{"open", "run"} {
		c.Entries = append(c.Entries, lavenderridge.Entry{
			ID: p, Owner: "o", Class: lavenderridge.ClassNormal, Service: "roster", PathPrefix: "/run", Timeout: 2 * time.Second,
			Host: string(p) + ".example", Public: p == "open",
		})
	}
	for l := range strings.Lines(s) {
		w := strings.Fields(l)
		v := lavenderridge.Customer{ID: lavenderridge.CustomerID(w[0])}
		for _, k := range w[1:] {
			if _, e := fmt.Sscanf(k, "rate=%g", &v.Quota.Rate); e == nil {
				continue
			}
			if _, e := fmt.Sscanf(k, "burst=%d", &v.Quota.Burst); e == nil {
				continue
			}
			v.Keys = append(v.Keys, lavenderridge.NewCustomerKey([]byte(k)))
		}
		c.Customers = append(c.Customers, v)
	}
	f.source.Put(lavenderridge.Fact{Key: "catalogue", Catalogue: &lavenderridge.PublishedCatalogue{Version: f.version, Catalogue: c}})
	for e := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		o := true
		for _, d := range f.daemons {
			s := d.Status()
			o = o && s.Ready && s.Versions.Catalogue == f.version && s.Versions.InstanceList >= 4
		}
		if o {
			return
		}
		if time.Now().After(e) {
			f.t.Fatal("condition not met within 10 s")
		}
	}
}

// request sends a request with the header fields in the lines of s to the daemon n, and
// returns the status and what the backend server received.
func (f *customerFleet) request(n, h, s string) string {
	q, e := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+string(f.daemons[n].CallerAddress())+"/run", http.NoBody)
	if e != nil {
		f.t.Fatal(e)
	}
	q.Host = h
	q.Header.Set("Request-Id", "r-1")
	for l := range strings.Lines(s) {
		k, v, _ := strings.Cut(strings.TrimSpace(l), ": ")
		q.Header.Add(k, v)
	}
	p, e := http.DefaultClient.Do(q)
	if e != nil {
		f.t.Fatal(e)
	}
	defer func() { _ = p.Body.Close() }()
	b, e := io.ReadAll(p.Body)
	if e != nil {
		f.t.Fatal(e)
	}
	if p.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d %s", p.StatusCode, b)
	}
	g := <-f.received
	return fmt.Sprintf("status 200, received Authorization %q, Tenant %q, Other %q\n", g["Authorization"], g["Tenant"], g["Other"])
}

// pages returns what the daemons show to operators.
func (f *customerFleet) pages() string {
	var b strings.Builder
	for _, d := range f.daemons {
		for _, p := range []string{"/metrics", "/decisions", "/status", "/burn"} {
			s, t := fetch(f.t, http.DefaultClient, "http://"+string(d.OperatorAddress())+p)
			fmt.Fprintln(&b, s, t)
		}
	}
	return b.String()
}

// TestCustomers runs testdata/customers: requests with and without keys to the daemon beside
// the backend server that runs them, "b", and to another one, "a". The backend server is told
// the customer and never the key, and nothing that the daemons write contains a key.
func TestCustomers(t *testing.T) {
	f := newCustomerFleet(t, 0)
	datadriven.RunTest(t, "testdata/customers", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "customers":
			f.publish(d.Input)
			return ""
		case "request":
			var n, h string
			d.ScanArgs(t, "at", &n)
			d.ScanArgs(t, "host", &h)
			return f.request(n, h, d.Input)
		}
		d.Fatalf(t, "unknown command %s", d.Cmd)
		return ""
	})
	s := f.logs.text() + f.pages()
	if strings.Contains(s, "secret") {
		t.Errorf("a log or a page for operators contains a key:\n%s", s)
	}
	for _, w := range []string{"RequestUnauthenticated", `"Customer":"large"`, "lavenderridge_requests_unauthenticated", `lavenderridge_customer_requests_total{customer="large",result="Good"}`} {
		if !strings.Contains(s, w) {
			t.Errorf("no log or page for operators contains %s:\n%s", w, s)
		}
	}
}
