package caller_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/caller"
	daemonpeer "github.com/lavenderridge/lavenderridge/internal/daemon/peer"
	peerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// quotaSession is the daemon "a" with scripted homes "b" and "c" of the quota of a
// customer, and a scripted backend server. Bounds without a slack leave the daemon no
// share of its own.
type quotaSession struct {
	lavenderridge.Peer
	mutex    sync.Mutex
	now      time.Time
	snapshot *lavenderridge.Snapshot
	homes    map[lavenderridge.InstanceID]*scriptedHome
	calls    []string
	next     string
	metrics  metrics.Registry
	handler  *caller.QuotaHandler
}

// scriptedHome lends left requests and then advises a wait.
type scriptedHome struct {
	lavenderridge.Peer
	session *quotaSession
	id      lavenderridge.InstanceID
	left    lavenderridge.Requests
	wait    time.Duration
	dead    bool
}

func (h *scriptedHome) Borrow(_ context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error) {
	s := h.session
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w := q.Wants[0]
	s.calls = append(s.calls, fmt.Sprintf("asked %s for %d of %s, returned %d", h.id, w.Requests, w.Customer, w.Returned))
	if h.dead {
		return nil, errors.New("unreachable")
	}
	g := lavenderridge.LoanGrant{Requests: min(w.Requests, h.left)}
	h.left -= g.Requests
	if g.Requests < w.Requests {
		g.Wait = h.wait
	}
	return &lavenderridge.Loan{Grants: []lavenderridge.LoanGrant{g}}, nil
}

func (s *quotaSession) Dial(n *lavenderridge.Instance) lavenderridge.Peer { return s.homes[n.ID] }
func (s *quotaSession) Record(lavenderridge.Decision)                     {}
func (s *quotaSession) Snapshot() *lavenderridge.Snapshot                 { return s.snapshot }

func (s *quotaSession) Now() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.now
}

// HandleMatched is the handler after the quota's. It refuses as its script says.
func (s *quotaSession) HandleMatched(context.Context, *lavenderridge.Snapshot, *lavenderridge.Entry, *lavenderridge.Request) (*lavenderridge.Response, error) {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, "scripted")
	switch s.next {
	case "refuses":
		return nil, f
	case "offered":
		f.Offered = true
		return nil, f
	}
	return &lavenderridge.Response{Status: 200}, nil
}

func newQuotaSession(t *testing.T) *quotaSession {
	s := &quotaSession{now: time.Unix(1000, 0), homes: map[lavenderridge.InstanceID]*scriptedHome{}, metrics: metrics.NewRegistry()}
	for _, n := range []lavenderridge.InstanceID{"b", "c"} {
		s.homes[n] = &scriptedHome{session: s, id: n}
	}
	l := &lavenderridge.InstanceList{Instances: []lavenderridge.Instance{
		{ID: "a", State: lavenderridge.InstanceLeaving}, {ID: "b", State: lavenderridge.InstanceLive}, {ID: "c", State: lavenderridge.InstanceLive},
	}}
	k := &lavenderridge.Catalogue{Customers: []lavenderridge.Customer{
		{ID: "free"}, {ID: "limited", Quota: lavenderridge.Quota{Rate: 10, Burst: 10}},
	}}
	s.snapshot = lavenderridge.NewSnapshot(k, l, lavenderridge.Stamps{}, s.now)
	b := caller.NewBorrower("a", peerpolicy.QuotaBounds{Window: 5 * time.Second}, s, s, nil, s, s.metrics)
	s.handler = caller.NewQuotaHandler(b, s, s)
	c, f := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.Run(c)
	}()
	t.Cleanup(func() {
		f()
		<-done
	})
	return s
}

func (s *quotaSession) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "home":
		s.mutex.Lock()
		defer s.mutex.Unlock()
		h := s.homes[lavenderridge.InstanceID(d.CmdArgs[0].Key)]
		h.dead = d.HasArg("dead")
		var w string
		d.MaybeScanArgs(t, "lends", (*int64)(&h.left))
		if d.MaybeScanArgs(t, "wait", &w) {
			h.wait, _ = time.ParseDuration(w)
		}
	case "advance":
		v, e := time.ParseDuration(d.CmdArgs[0].Key)
		if e != nil {
			d.Fatalf(t, "%v", e)
		}
		s.mutex.Lock()
		s.now = s.now.Add(v)
		s.mutex.Unlock()
	case "next":
		s.next = d.CmdArgs[0].Key
	case "request":
		n := 1
		r := &lavenderridge.Request{ID: "r"}
		d.MaybeScanArgs(t, "times", &n)
		d.MaybeScanArgs(t, "customer", (*string)(&r.Customer))
		var b strings.Builder
		for range n {
			r.Deadline = s.Now().Add(4 * time.Second)
			p, e := s.handler.HandleMatched(context.Background(), s.snapshot, nil, r)
			s.mutex.Lock()
			for _, a := range s.calls {
				fmt.Fprintln(&b, a)
			}
			s.calls = nil
			s.mutex.Unlock()
			if e != nil {
				f := lavenderridge.AsRefusal(e)
				fmt.Fprintf(&b, "refused: %s %s retry-after=%s: %s\n", f.Outcome, f.Reason, f.RetryAfter, f.Detail)
			} else {
				fmt.Fprintf(&b, "status %d\n", p.Status)
			}
		}
		return b.String()
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return ""
}

// TestQuotaSessions runs the golden files of a daemon that borrows from scripted homes.
func TestQuotaSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/quota", func(t *testing.T, p string) {
		s := newQuotaSession(t)
		datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

// quotaNode is one daemon of a fleet that runs in real time.
type quotaNode struct {
	lavenderridge.Peer
	lender   *daemonpeer.Lender
	borrower *caller.Borrower
}

func (n *quotaNode) Borrow(c context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error) {
	return n.lender.Borrow(c, q)
}

type quotaFleet struct {
	snapshot atomic.Pointer[lavenderridge.Snapshot]
	nodes    map[lavenderridge.InstanceID]*quotaNode
}

func (f *quotaFleet) Now() time.Time                                    { return time.Now() }
func (f *quotaFleet) Ready(time.Time) error                             { return nil }
func (f *quotaFleet) Record(lavenderridge.Decision)                     {}
func (f *quotaFleet) Snapshot() *lavenderridge.Snapshot                 { return f.snapshot.Load() }
func (f *quotaFleet) Dial(n *lavenderridge.Instance) lavenderridge.Peer { return f.nodes[n.ID] }
func (f *quotaFleet) sourceAge(time.Time) time.Duration                 { return time.Second / 2 }

// TestQuotaInParallel floods six daemons with the requests of one customer from many
// goroutines while the instance list changes. It guards against a race that admits more than the quota, or that leaves a
// request waiting for ever.
func TestQuotaInParallel(t *testing.T) {
	const daemons, callers = 6, 8
	u := peerpolicy.QuotaBounds{Window: time.Second, Overage: 0.25, Slack: 20}
	q := lavenderridge.Quota{Rate: 200, Burst: 100}
	f := &quotaFleet{nodes: map[lavenderridge.InstanceID]*quotaNode{}}
	l := &lavenderridge.InstanceList{}
	for i := range daemons {
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: lavenderridge.InstanceID(fmt.Sprint("n", i)), State: lavenderridge.InstanceLive})
	}
	s := lavenderridge.NewSnapshot(&lavenderridge.Catalogue{Customers: []lavenderridge.Customer{{ID: "k", Quota: q}}}, l, lavenderridge.Stamps{}, time.Now())
	f.snapshot.Store(s)
	c, stop := context.WithCancel(context.Background())
	var g, w sync.WaitGroup
	for _, n := range l.Instances {
		m := metrics.NewRegistry()
		d := daemonpeer.NewLender(peerpolicy.NewLoanLedger(n.ID, u), f, f, f.sourceAge, f, m)
		f.nodes[n.ID] = &quotaNode{lender: d, borrower: caller.NewBorrower(n.ID, u, f, f, d.Borrow, f, m)}
	}
	for _, n := range f.nodes {
		g.Go(func() { _ = n.lender.Run(c) })
		g.Go(func() { _ = n.borrower.Run(c) })
	}
	g.Go(func() {
		// Now and then the list leaves out one instance or another, which goes on.
		for i := 0; lavenderridge.Sleep(c, u.Window/3) == nil; i++ {
			o := &lavenderridge.InstanceList{Instances: slices.Delete(slices.Clone(l.Instances), i%daemons, i%daemons+1)}
			f.snapshot.Store(s.WithInstanceList(o, lavenderridge.Stamps{}, time.Now()))
		}
	})
	var ran, refused atomic.Int64
	end := time.Now().Add(3 * u.Window)
	for _, n := range f.nodes {
		for range callers {
			w.Go(func() {
				for time.Now().Before(end) {
					if _, e := n.borrower.Admit(c, f.Snapshot(), s.Customer("k"), end); e != nil {
						refused.Add(1)
						time.Sleep(time.Millisecond)
					} else {
						ran.Add(1)
					}
				}
			})
		}
	}
	w.Wait()
	stop()
	g.Wait()
	t.Logf("%d ran, %d were refused", ran.Load(), refused.Load())
	if n := float64(ran.Load()); n > 3*u.Most(q) {
		t.Errorf("%.0f requests ran in three windows; want at most %.0f", n, 3*u.Most(q))
	}
	if ran.Load() == 0 {
		t.Error("no request ran")
	}
}
