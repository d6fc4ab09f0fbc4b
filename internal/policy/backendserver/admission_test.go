package backendserver_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// modelRequest is a request in the model that the Admission is compared with.
type modelRequest struct {
	waiter    *backendserver.Waiter
	class     lavenderridge.Class
	exclusive bool
}

// admissionMachine compares an Admission with plain lists of the running and
// waiting requests.
type admissionMachine struct {
	service   lavenderridge.Service
	now       time.Time
	limiter   *backendserver.Limiter
	admission *backendserver.Admission
	running   []*modelRequest
	waiting   []*modelRequest
}

func (m *admissionMachine) limit() lavenderridge.Slots {
	return m.limiter.Limit(min(m.service.Slots, lavenderridge.Slots(m.service.Connections)-1))
}

func (m *admissionMachine) enter(t *rapid.T) {
	a := &modelRequest{
		class:     lavenderridge.Class(rapid.IntRange(1, 3).Draw(t, "class")),
		exclusive: rapid.IntRange(0, 5).Draw(t, "exclusive") == 0,
	}
	d := m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
	f := m.admission.Enter
	if a.exclusive {
		f = m.admission.EnterExclusive
	}
	w, e := f(&m.service, a.class, d, m.now)
	switch {
	case e != nil:
		m.checkRefusal(t, a, e)
	case w != nil:
		a.waiter = w
		m.waiting = append(m.waiting, a)
	default:
		m.checkAdmitted(t, a)
	}
	m.processDecisions(t)
}

// checkRefusal checks that the refusal is complete and that no request of a
// lower class keeps its place in a full queue.
func (m *admissionMachine) checkRefusal(t *rapid.T, a *modelRequest, e error) {
	f := lavenderridge.AsRefusal(e)
	if f.Outcome != lavenderridge.OutcomeNotRun || f.RetryAfter <= 0 {
		t.Fatalf("refusal %+v", f)
	}
	if f.Detail != "all slots are taken and the queue is full" {
		return
	}
	for _, w := range m.waiting {
		if w.class < a.class && !isDecided(w) {
			t.Fatalf("a request of class %s was refused while one of class %s waits", a.class, w.class)
		}
	}
}

// checkAdmitted adds a to the running requests and checks the limits.
func (m *admissionMachine) checkAdmitted(t *rapid.T, a *modelRequest) {
	m.running = append(m.running, a)
	if n := lavenderridge.Slots(len(m.running)); n > m.limit() || n > m.service.Slots || n >= lavenderridge.Slots(m.service.Connections) {
		t.Fatalf("%d requests run; limit %d, slots %d, connections %d", n, m.limit(), m.service.Slots, m.service.Connections)
	}
	if len(m.running) > 1 && slices.ContainsFunc(m.running, func(a *modelRequest) bool { return a.exclusive }) {
		t.Fatal("an exclusive request runs together with others")
	}
}

func isDecided(a *modelRequest) bool {
	select {
	case <-a.waiter.Decided():
		return true
	default:
		return false
	}
}

// processDecisions updates the lists with the decisions on waiters and checks
// that higher classes were admitted first.
func (m *admissionMachine) processDecisions(t *rapid.T) {
	w := m.waiting
	m.waiting = nil
	var in []*modelRequest
	for _, a := range w {
		switch {
		case !isDecided(a):
			m.waiting = append(m.waiting, a)
		case a.waiter.Err() == nil:
			in = append(in, a)
		}
	}
	for _, a := range in {
		m.checkAdmitted(t, a)
		for _, o := range m.waiting {
			if o.class > a.class {
				t.Fatalf("a request of class %s was admitted while one of class %s waits", a.class, o.class)
			}
		}
	}
}

func (m *admissionMachine) leave(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no request runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "run")
	a := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	u := lavenderridge.Slots(len(m.running) + 1)
	switch rapid.IntRange(0, 9).Draw(t, "result") {
	case 0:
		m.limiter.Shed(m.now)
	case 1:
		m.limiter.Crashed(m.now)
	case 2:
		m.limiter.TimedOut(2*time.Second, m.now)
	default:
		m.limiter.Succeeded(time.Duration(rapid.IntRange(1, 100).Draw(t, "latency"))*time.Millisecond, u, m.service.Slots, m.now)
	}
	if a.exclusive {
		m.admission.LeaveExclusive(m.now)
	} else {
		m.admission.Leave(m.now)
	}
	m.processDecisions(t)
}

func (m *admissionMachine) abandon(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("no request waits")
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiter")
	if !m.admission.Abandon(m.waiting[i].waiter, m.now) {
		t.Fatal("Abandon returned false for an undecided waiter")
	}
	m.waiting = slices.Delete(m.waiting, i, i+1)
	m.processDecisions(t)
}

func (m *admissionMachine) sleep(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "sleep")) * time.Millisecond)
}

func (m *admissionMachine) check(t *rapid.T) {
	l := m.admission.Load(&m.service)
	if int(l.InFlight) != len(m.running) || int(l.Queued) != len(m.waiting) {
		t.Fatalf("load %+v; want %d in flight and %d queued", l, len(m.running), len(m.waiting))
	}
	if l.Limit < 1 {
		t.Fatalf("limit %d; want at least 1", l.Limit)
	}
	if len(m.waiting) > 0 && len(m.running) == 0 {
		t.Fatal("requests wait although none runs")
	}
	if len(m.waiting) > max(1, int(m.service.Queue)) {
		t.Fatalf("%d requests wait; queue length %d", len(m.waiting), m.service.Queue)
	}
}

// TestAdmissionLimits performs random operations and checks after each one
// that the limits hold, that exclusive requests run with no other, and that
// classes are admitted in order.
func TestAdmissionLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := time.Unix(1000, 0)
		l := backendserver.NewLimiter(n)
		m := &admissionMachine{now: n, limiter: l, admission: backendserver.NewAdmission(l), service: lavenderridge.Service{
			Slots:       lavenderridge.Slots(rapid.IntRange(1, 12).Draw(t, "slots")),
			Connections: lavenderridge.Connections(rapid.IntRange(2, 14).Draw(t, "connections")),
			Queue:       lavenderridge.Slots(rapid.IntRange(0, 5).Draw(t, "queue")),
		}}
		t.Repeat(map[string]func(*rapid.T){
			"Enter": m.enter, "EnterAgain": m.enter, "Leave": m.leave, "Abandon": m.abandon, "Sleep": m.sleep, "": m.check,
		})
	})
}

// TestAdmissionReleasesAllSlots enters and leaves from many goroutines
// concurrently. It guards against a slot that is released between a failed
// attempt and joining the queue, after which the waiter would never be
// admitted.
func TestAdmissionReleasesAllSlots(t *testing.T) {
	const workers, rounds = 32, 400
	l := backendserver.NewLimiter(time.Unix(0, 0), backendserver.WithFixedLimit())
	a := backendserver.NewAdmission(l)
	v := &lavenderridge.Service{Slots: 3, Connections: 130, Queue: workers}
	var g sync.WaitGroup
	for i := range workers {
		g.Go(func() {
			for r := range rounds {
				exclusive := (i+r)%16 == 0
				enter, leave := a.Enter, a.Leave
				if exclusive {
					enter, leave = a.EnterExclusive, a.LeaveExclusive
				}
				n := time.Unix(0, int64(r))
				w, e := enter(v, lavenderridge.ClassNormal, time.Time{}, n)
				if e != nil {
					continue
				}
				if w != nil {
					select {
					case <-w.Decided():
					case <-time.After(20 * time.Second):
						t.Errorf("worker %d was not admitted within 20 s: %+v", i, a.Load(v))
						return
					}
				}
				if u := a.InFlight(); u > 3 || exclusive && u != 1 {
					t.Errorf("%d in flight, exclusive %t", u, exclusive)
				}
				leave(n)
			}
		})
	}
	g.Wait()
	if u := a.Load(v); u.InFlight != 0 || u.Queued != 0 {
		t.Errorf("load after all requests have left: %+v", u)
	}
}

// TestLimiterAlwaysRecovers records random results and then only successes,
// after which the limit must be the maximum again. Meanwhile the limit stays
// in its range and rises by at most one slot per success.
func TestLimiterAlwaysRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := time.Unix(1000, 0)
		l := backendserver.NewLimiter(n)
		s := lavenderridge.Slots(rapid.IntRange(1, 12).Draw(t, "slots"))
		for range rapid.IntRange(0, 60).Draw(t, "results") {
			n = n.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "wait")) * time.Millisecond)
			before := l.Limit(s)
			switch rapid.IntRange(0, 5).Draw(t, "result") {
			case 0:
				l.Shed(n)
			case 1:
				l.Crashed(n)
			case 2:
				l.HealthReported(lavenderridge.Health{Boot: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "boot")), Ready: rapid.Bool().Draw(t, "ready")}, n)
				if l.Limit(s) > before {
					t.Fatal("a health response raised the limit")
				}
			default:
				l.Succeeded(20*time.Millisecond, before, s, n)
				if l.Limit(s) > before+1 {
					t.Fatalf("limit rose from %d to %d in one step", before, l.Limit(s))
				}
			}
			if u := l.Limit(s); u < 1 || u > s {
				t.Fatalf("limit %d; want 1 to %d", u, s)
			}
		}
		for range 4000 {
			n = n.Add(20 * time.Millisecond)
			l.Succeeded(20*time.Millisecond, l.Limit(s), s, n)
		}
		if u := l.Limit(s); u != s {
			t.Fatalf("limit %d after 80 s of successes; want %d", u, s)
		}
	})
}

// BenchmarkAdmission measures requests that are admitted without waiting.
func BenchmarkAdmission(b *testing.B) {
	l := backendserver.NewLimiter(time.Now(), backendserver.WithFixedLimit())
	a := backendserver.NewAdmission(l)
	v := &lavenderridge.Service{Slots: 1000, Connections: 2000}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		n := time.Now()
		for p.Next() {
			if w, e := a.Enter(v, lavenderridge.ClassNormal, n, n); w == nil && e == nil {
				l.Succeeded(time.Millisecond, a.InFlight(), v.Slots, n)
				a.Leave(n)
			}
		}
	})
}

// TestExclusiveRequestsAreSpaced abandons an exclusive request while it blocks
// others. Without a pause, a series of such requests could block the backend
// server permanently.
func TestExclusiveRequestsAreSpaced(t *testing.T) {
	n := time.Unix(1000, 0)
	a := backendserver.NewAdmission(backendserver.NewLimiter(n, backendserver.WithFixedLimit()))
	v := &lavenderridge.Service{Slots: 2, Connections: 130, Queue: 2}
	end := n.Add(time.Minute)
	if w, e := a.Enter(v, lavenderridge.ClassNormal, end, n); w != nil || e != nil {
		t.Fatal(w, e)
	}
	w, e := a.EnterExclusive(v, lavenderridge.ClassNormal, end, n)
	if e != nil {
		t.Fatal(e)
	}
	n = n.Add(time.Second)
	a.Abandon(w, n)
	if _, e = a.EnterExclusive(v, lavenderridge.ClassNormal, end, n); e == nil || lavenderridge.AsRefusal(e).RetryAfter != time.Second {
		t.Errorf("a second exclusive request was not refused for 1 s: %v", e)
	}
	if w, e := a.Enter(v, lavenderridge.ClassNormal, end, n); w != nil || e != nil {
		t.Error("a normal request was not admitted:", e)
	}
	if w, e = a.EnterExclusive(v, lavenderridge.ClassNormal, end, n.Add(time.Second)); w == nil || e != nil {
		t.Errorf("an exclusive request after the pause does not wait: %v", e)
	}
}
