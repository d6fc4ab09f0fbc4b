package caller_test

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/caller"
	callerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/caller"
	configpolicy "github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	peerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// session is the daemon "a", reduced to the handling of callers' requests, with
// scripted targets.
type session struct {
	lavenderridge.Peer
	now       time.Time
	version   lavenderridge.Version
	snapshot  *lavenderridge.Snapshot
	catalogue lavenderridge.Catalogue
	list      lavenderridge.InstanceList
	notReady  bool
	// catalogueAge is the age of the catalogue; it is negative if there is no proof of it.
	catalogueAge time.Duration
	scripts      map[lavenderridge.InstanceID]string
	attempts     []string
	observed     lavenderridge.Observation
	// unscripted makes every target respond with 200, without a record of the attempts.
	unscripted bool
	handler    lavenderridge.Handler
}

func newSession(o ...callerpolicy.RetryOption) *session {
	s := &session{now: time.Unix(4_000_000_000, 0), scripts: map[lavenderridge.InstanceID]string{}}
	r := callerpolicy.NewBalancedRouter("a", "dc-0", s.now, callerpolicy.WithRandom(func(int) int { return 0 }))
	p := callerpolicy.NewRetryPolicy(append(o, callerpolicy.WithJitter(func() float64 { return 0 }))...)
	self := func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a", DataCentre: "dc-0"} }
	f := caller.NewForwardHandler(r, r, peerpolicy.NewHomeRouter(), s, s, self, target{s, "a"}, caller.WithNotices(func(h lavenderridge.Header) lavenderridge.Notice {
		return lavenderridge.NewNotice(h["Limit"], h["Leaving"])
	}))
	x := configpolicy.NewFreshnessLimit(configpolicy.NewRevocationPlan(5*time.Second), s)
	l := caller.NewLimitHandler(callerpolicy.NewEntryLimiter(s.now, 0), callerpolicy.NewShedder(s.now, func() float64 { return 0.5 }), s, caller.NewRetryHandler(p, s, s, caller.NewFreshAttempter(x, f), s))
	s.handler = caller.NewEntryHandler(s, s, s, "a", caller.NewCustomerHandler([]string{"Key", "Customer"}, s, s, caller.NewObserveHandler(s, s, "dc-0", caller.NewFreshnessHandler(x, l))))
	return s
}

func (s *session) Now() time.Time                    { return s.now }
func (s *session) Snapshot() *lavenderridge.Snapshot { return s.snapshot }

// CatalogueAge implements lavenderridge.Freshness.
func (s *session) CatalogueAge(lavenderridge.Version) (time.Duration, bool) {
	return s.catalogueAge, s.catalogueAge >= 0
}

func (s *session) Record(d lavenderridge.Decision) {
	if d.Event == "RequestUnauthenticated" {
		s.attempts = append(s.attempts, d.Event+" "+d.Subject+": "+d.Reason)
	}
}

func (s *session) Observe(o lavenderridge.Observation) { s.observed = o }

func (s *session) Ready(time.Time) error {
	if s.notReady {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotReady, "the process was paused")
	}
	return nil
}

func (s *session) Dial(n *lavenderridge.Instance) lavenderridge.Peer {
	return peer{target: target{s, n.ID}}
}

// peer is the daemon of a target.
type peer struct {
	lavenderridge.Peer
	target
}

func (p peer) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	return p.target.Handle(c, r)
}

// target responds as its script says: with a status; with a refusal, written as
// "<place>:<outcome>:<reason>", where the place is "target" or "link"; with the
// response to an earlier attempt ("late") or to another request ("crossed"); or, for
// "newer-catalogue", with the refusal of an owner whose data centre has been taken out
// of service by a catalogue that this daemon accepts during the attempt.
//
// "suspended" is a refusal before which the machine of this daemon is suspended for 6 s.
// "new-customers:<key>" is an overloaded target, during whose attempt this daemon accepts a
// catalogue in which the customer "other" has only that key.
//
// "named:<limit>" and "leaving" are responses with a notice of the backend server, and
// "full:<limit>:<time>" is the refusal of an owner whose backend server has room after
// that time.
type target struct {
	session  *session
	instance lavenderridge.InstanceID
}

func (n target) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	s := n.session
	if s.unscripted {
		return &lavenderridge.Response{ID: r.ID, Attempt: r.Attempt, Status: 200}, nil
	}
	a, o := s.scripts[n.instance]
	if !o {
		a = "200"
	}
	// A script may have several responses. They are used in turn and the last one stays.
	if f, rest, o := strings.Cut(a, ","); o {
		a, s.scripts[n.instance] = f, rest
	}
	l := fmt.Sprintf("attempt %d at %s: %s", r.Attempt, n.instance, a)
	if r.Heard != nil {
		l += fmt.Sprintf(", told of %g a second %s ago", r.Heard.Limit, r.Heard.Age)
	}
	if r.Customer != "" {
		l += ", customer " + string(r.Customer) + ", class " + r.Class.String()
	}
	if len(r.Header) > 0 {
		l += fmt.Sprintf(", header %v", r.Header)
	}
	s.attempts = append(s.attempts, l)
	if a == "suspended" {
		s.catalogueAge += 6 * time.Second
		a = "target:NotRun:NotReady"
	}
	if k, o := strings.CutPrefix(a, "new-customers:"); o {
		s.catalogue.Customers = []lavenderridge.Customer{{ID: "other", Keys: []lavenderridge.CustomerKey{lavenderridge.NewCustomerKey([]byte(k))}}}
		s.publish()
		a = "target:NotRun:Overloaded"
	}
	if a == "newer-catalogue" {
		s.takeOutOfService(s.snapshot.Instance(n.instance).DataCentre)
		a = "target:NotRun:OutOfService"
	}
	p := &lavenderridge.Response{ID: r.ID, Attempt: r.Attempt, Status: 200, Sender: lavenderridge.Sender{Instance: n.instance}}
	w := strings.Split(a, ":")
	switch {
	case w[0] == "full":
		f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonBackendLimit, "scripted")
		v, _ := strconv.ParseFloat(w[1], 64)
		f.Place, f.Heard = n.instance, &lavenderridge.HeardNotice{Notice: lavenderridge.Notice{Limited: true, Limit: lavenderridge.Rate(v)}, Backend: r.Backend, Place: n.instance}
		f.RetryAfter, _ = time.ParseDuration(w[2])
		return nil, f
	case w[0] == "named":
		p.Header = lavenderridge.Header{"Limit": w[1:]}
		return p, nil
	case a == "leaving":
		p.Header = lavenderridge.Header{"Leaving": {"1"}}
		return p, nil
	case len(w) == 3:
		f := lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.Reason(w[2]), "scripted")
		if w[1] == "NotRun" {
			f.Outcome = lavenderridge.OutcomeNotRun
		}
		if w[0] == "target" {
			f.Place = n.instance
		}
		return nil, f
	}
	switch a {
	case "late":
		p.Attempt--
	case "crossed":
		p.ID = "another"
	default:
		_, _ = fmt.Sscan(a, &p.Status)
	}
	return p, nil
}

// takeOutOfService publishes a catalogue in which the data centre d is out of
// service.
func (s *session) takeOutOfService(d lavenderridge.DataCentreID) {
	s.catalogue.DataCentres = slices.Clone(s.catalogue.DataCentres)
	for i := range s.catalogue.DataCentres {
		if s.catalogue.DataCentres[i].ID == d {
			s.catalogue.DataCentres[i].State = lavenderridge.OutOfService
		}
	}
	s.publish()
}

func (s *session) publish() {
	s.version++
	v := lavenderridge.Stamp{Version: s.version}
	c, l := s.catalogue, s.list
	s.snapshot = lavenderridge.NewSnapshot(&c, &l, lavenderridge.Stamps{Catalogue: v, InstanceList: v}, s.now)
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "instances":
		s.list.Instances = nil
		for l := range strings.Lines(d.Input) {
			s.list.Instances = append(s.list.Instances, parseInstance(t, d, l))
		}
		s.publish()
	case "catalogue":
		s.catalogue = lavenderridge.Catalogue{Services: []lavenderridge.Service{{ID: "billing", Slots: 10}}}
		for _, a := range d.CmdArgs {
			s.catalogue.DataCentres = append(s.catalogue.DataCentres, lavenderridge.DataCentre{ID: lavenderridge.DataCentreID(a.Key), Region: "r", State: lavenderridge.ServiceState(a.Vals[0])})
		}
		x := lavenderridge.Entry{Service: "billing", Class: lavenderridge.ClassNormal, Timeout: time.Second}
		r, w, b := x, x, x
		r.ID, r.PathPrefix, r.Idempotent = "read", "/read", true
		w.ID, w.PathPrefix = "write", "/write"
		b.ID, b.PathPrefix, b.Class, b.Limits = "batch", "/batch", lavenderridge.ClassBackground, lavenderridge.Limits{Rate: 1}
		s.catalogue.Entries = []lavenderridge.Entry{b, r, w}
		s.publish()
	case "customers":
		s.catalogue.Customers = nil
		for l := range strings.Lines(d.Input) {
			w := strings.Fields(l)
			c := lavenderridge.Customer{ID: lavenderridge.CustomerID(w[0])}
			c.Class, _ = lavenderridge.ParseClass(w[1])
			for _, k := range w[2:] {
				c.Keys = append(c.Keys, lavenderridge.NewCustomerKey([]byte(k)))
			}
			s.catalogue.Customers = append(s.catalogue.Customers, c)
		}
		s.publish()
	case "responses":
		s.scripts = map[lavenderridge.InstanceID]string{}
		for _, a := range d.CmdArgs {
			s.scripts[lavenderridge.InstanceID(a.Key)] = strings.Join(a.Vals, ",")
		}
	case "advance":
		v, e := time.ParseDuration(d.CmdArgs[0].Key)
		if e != nil {
			d.Fatalf(t, "%v", e)
		}
		s.now = s.now.Add(v)
	case "catalogue-age":
		v, e := time.ParseDuration(d.CmdArgs[0].Key)
		if e != nil {
			d.Fatalf(t, "%v", e)
		}
		s.catalogueAge = v
	case "ready":
		s.notReady = d.HasArg("no")
	case "request":
		return s.request(t, d)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return ""
}

// parseInstance parses the line l, which has an instance, its data centre, its state and
// the run of its backend server, which may be missing.
func parseInstance(t *testing.T, d *datadriven.TestData, l string) lavenderridge.Instance {
	w := strings.Fields(l)
	if len(w) < 3 {
		d.Fatalf(t, "%q has %d words; want 3 or 4", l, len(w))
	}
	n := lavenderridge.Instance{
		Service: "billing", ID: lavenderridge.InstanceID(w[0]), DataCentre: lavenderridge.DataCentreID(w[1]), State: lavenderridge.InstanceState(w[2]),
	}
	if len(w) > 3 {
		n.Backend = lavenderridge.BackendID(w[3])
	}
	return n
}

func (s *session) request(t *testing.T, d *datadriven.TestData) string {
	r := &lavenderridge.Request{ID: "r", Method: "POST", NoRetry: d.HasArg("no-retry")}
	n := 1
	d.MaybeScanArgs(t, "times", &n)
	d.ScanArgs(t, "path", &r.Path)
	var k string
	if d.MaybeScanArgs(t, "key", &k) {
		r.Key = lavenderridge.IdempotencyKey(k)
	}
	if d.HasArg("with-key") {
		r.CustomerKey = lavenderridge.NewCustomerKey([]byte("secret"))
	}
	if d.MaybeScanArgs(t, "customer-key", &k) {
		r.CustomerKey = lavenderridge.NewCustomerKey([]byte(k))
		r.Header = lavenderridge.Header{"Key": {k}, "Customer": {"forged"}, "Other": {"x"}}
	}
	var b strings.Builder
	for range n {
		s.attempts, s.observed = nil, lavenderridge.Observation{}
		q := *r
		q.Header = maps.Clone(r.Header)
		// The session's clock is decades ahead of the real one, so that no context
		// reaches its deadline.
		c, f := context.WithCancel(context.Background())
		if d.HasArg("gone") {
			f()
		}
		p, e := s.handler.Handle(c, &q)
		f()
		for _, a := range s.attempts {
			fmt.Fprintln(&b, a)
		}
		if e != nil {
			v := lavenderridge.AsRefusal(e)
			if d.HasArg("gone") {
				fmt.Fprintf(&b, "observed %t\n", s.observed.Entry != "")
			}
			fmt.Fprintf(&b, "refused by %s: %s %s retried=%t retry-after=%s\n", v.Place, v.Outcome, v.Reason, v.Retried, v.RetryAfter)
			continue
		}
		fmt.Fprintf(&b, "status %d from %s good=%t\n", p.Status, p.Sender.Instance, s.observed.Good)
		if m := s.observed.Limited; m != nil {
			fmt.Fprintf(&b, "moved by a limit of %g a second, heard by %s %s ago\n", m.Limit, m.Place, m.Age)
		}
	}
	return b.String()
}

// TestSessions runs the golden files of sessions. In those of the directory rerouting,
// retries of attempts that reached no backend server use no budget.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/session", func(t *testing.T, p string) {
		var o []callerpolicy.RetryOption
		if filepath.Base(filepath.Dir(p)) == "rerouting" {
			o = append(o, callerpolicy.WithFreeRerouting())
		}
		s := newSession(o...)
		datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}
