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

// ask is a request as the oracle sees it.
type ask struct {
	waiter *backendserver.Waiter
	class  lavenderridge.Class
	alone  bool
}

// admissionMachine compares an Admission with lists of what runs and waits.
type admissionMachine struct {
	service   lavenderridge.Service
	now       time.Time
	limiter   *backendserver.Limiter
	admission *backendserver.Admission
	running   []*ask
	waiting   []*ask
}

func (m *admissionMachine) limit() lavenderridge.Slots {
	return m.limiter.Limit(min(m.service.Slots, lavenderridge.Slots(m.service.Connections)-1))
}

func (m *admissionMachine) enter(t *rapid.T) {
	a := &ask{
		class: lavenderridge.Class(rapid.IntRange(1, 3).Draw(t, "class")),
		alone: rapid.IntRange(0, 5).Draw(t, "alone") == 0,
	}
	d := m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
	f := m.admission.Enter
	if a.alone {
		f = m.admission.EnterAlone
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
	m.settle(t)
}

func (m *admissionMachine) checkRefusal(t *rapid.T, a *ask, e error) {
	f := lavenderridge.AsRefusal(e)
	if f.Outcome != lavenderridge.OutcomeNotRun || f.RetryAfter <= 0 {
		t.Fatalf("refusal %+v", f)
	}
	if f.Detail != "all slots are taken and the queue is full" {
		return
	}
	for _, w := range m.waiting {
		if w.class < a.class && !done(w) {
			t.Fatalf("refused %s while %s waits", a.class, w.class)
		}
	}
}

// checkAdmitted adds a to what runs, and checks the bounds at that moment.
func (m *admissionMachine) checkAdmitted(t *rapid.T, a *ask) {
	m.running = append(m.running, a)
	if n := lavenderridge.Slots(len(m.running)); n > m.limit() || n > m.service.Slots || n >= lavenderridge.Slots(m.service.Connections) {
		t.Fatalf("%d run; limit %d, slots %d, connections %d", n, m.limit(), m.service.Slots, m.service.Connections)
	}
	if len(m.running) > 1 && slices.ContainsFunc(m.running, func(a *ask) bool { return a.alone }) {
		t.Fatal("a request that must run alone runs with others")
	}
}

func done(a *ask) bool {
	select {
	case <-a.waiter.Decided():
		return true
	default:
		return false
	}
}

// settle takes in what was decided on waiters, and checks the order by class.
func (m *admissionMachine) settle(t *rapid.T) {
	w := m.waiting
	m.waiting = nil
	var in []*ask
	for _, a := range w {
		switch {
		case !done(a):
			m.waiting = append(m.waiting, a)
		case a.waiter.Err() == nil:
			in = append(in, a)
		}
	}
	for _, a := range in {
		m.checkAdmitted(t, a)
		for _, o := range m.waiting {
			if o.class > a.class {
				t.Fatalf("%s admitted while %s waits", a.class, o.class)
			}
		}
	}
}

func (m *admissionMachine) leave(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("none runs")
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
	if a.alone {
		m.admission.LeaveAlone(m.now)
	} else {
		m.admission.Leave(m.now)
	}
	m.settle(t)
}

func (m *admissionMachine) abandon(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("none waits")
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiter")
	if !m.admission.Abandon(m.waiting[i].waiter, m.now) {
		t.Fatal("a waiter that is not decided could not be abandoned")
	}
	m.waiting = slices.Delete(m.waiting, i, i+1)
	m.settle(t)
}

func (m *admissionMachine) sleep(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "sleep")) * time.Millisecond)
}

func (m *admissionMachine) check(t *rapid.T) {
	l := m.admission.Load(&m.service)
	if int(l.InFlight) != len(m.running) || int(l.Queued) != len(m.waiting) {
		t.Fatalf("load %+v; %d run and %d wait", l, len(m.running), len(m.waiting))
	}
	if l.Limit < 1 {
		t.Fatalf("limit %d", l.Limit)
	}
	if len(m.waiting) > 0 && len(m.running) == 0 {
		t.Fatal("requests wait though none runs")
	}
	if len(m.waiting) > max(1, int(m.service.Queue)) {
		t.Fatalf("%d wait; queue %d", len(m.waiting), m.service.Queue)
	}
}

func TestAdmissionKeepsItsBounds(t *testing.T) {
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

// TestAdmissionLosesNoSlot enters and leaves from many goroutines at once.
func TestAdmissionLosesNoSlot(t *testing.T) {
	const workers, rounds = 32, 400
	l := backendserver.NewLimiter(time.Unix(0, 0), backendserver.WithFixedLimit())
	a := backendserver.NewAdmission(l)
	v := &lavenderridge.Service{Slots: 3, Connections: 130, Queue: workers}
	var g sync.WaitGroup
	for i := range workers {
		g.Go(func() {
			for r := range rounds {
				lone := (i+r)%16 == 0
				enter, leave := a.Enter, a.Leave
				if lone {
					enter, leave = a.EnterAlone, a.LeaveAlone
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
						t.Errorf("worker %d waits for good: %+v", i, a.Load(v))
						return
					}
				}
				if u := a.InFlight(); u > 3 || lone && u != 1 {
					t.Errorf("%d in flight, alone %t", u, lone)
				}
				leave(n)
			}
		})
	}
	g.Wait()
	if u := a.Load(v); u.InFlight != 0 || u.Queued != 0 {
		t.Errorf("left over: %+v", u)
	}
}

// TestLimiterAlwaysRecovers feeds random results and then successes only.
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
				l.Hint(lavenderridge.Health{Boot: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "boot")), Ready: rapid.Bool().Draw(t, "ready")}, n)
				if l.Limit(s) > before {
					t.Fatal("a health hint raised the limit")
				}
			default:
				l.Succeeded(20*time.Millisecond, before, s, n)
				if l.Limit(s) > before+1 {
					t.Fatalf("limit rose from %d to %d at once", before, l.Limit(s))
				}
			}
			if u := l.Limit(s); u < 1 || u > s {
				t.Fatalf("limit %d of %d", u, s)
			}
		}
		for range 4000 {
			n = n.Add(20 * time.Millisecond)
			l.Succeeded(20*time.Millisecond, l.Limit(s), s, n)
		}
		if u := l.Limit(s); u != s {
			t.Fatalf("limit %d of %d after 80 s of successes", u, s)
		}
	})
}

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

// TestLoneRequestsLeaveTimeToOthers lets a request that must run alone give up
// while it holds up others. The next may not hold them up at once.
func TestLoneRequestsLeaveTimeToOthers(t *testing.T) {
	n := time.Unix(1000, 0)
	a := backendserver.NewAdmission(backendserver.NewLimiter(n, backendserver.WithFixedLimit()))
	v := &lavenderridge.Service{Slots: 2, Connections: 130, Queue: 2}
	end := n.Add(time.Minute)
	if w, e := a.Enter(v, lavenderridge.ClassNormal, end, n); w != nil || e != nil {
		t.Fatal(w, e)
	}
	w, e := a.EnterAlone(v, lavenderridge.ClassNormal, end, n)
	if e != nil {
		t.Fatal(e)
	}
	n = n.Add(time.Second)
	a.Abandon(w, n)
	if _, e = a.EnterAlone(v, lavenderridge.ClassNormal, end, n); e == nil || lavenderridge.AsRefusal(e).RetryAfter != time.Second {
		t.Errorf("a second one at once: %v", e)
	}
	if w, e := a.Enter(v, lavenderridge.ClassNormal, end, n); w != nil || e != nil {
		t.Error("another request does not run:", e)
	}
	if w, e = a.EnterAlone(v, lavenderridge.ClassNormal, end, n.Add(time.Second)); w == nil || e != nil {
		t.Errorf("a second one later: %v", e)
	}
}
