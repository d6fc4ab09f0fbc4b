package backendserver_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

const (
	// limitWindow, limitFactor and limitSlack are those of the rule LIMIT.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// demandStep is the time between two requests of a demand in tests.
	demandStep = 2 * time.Millisecond
)

// announcementSession runs the commands of the golden files on Announcements.
type announcementSession struct {
	now       time.Time
	announced *backendserver.Announcements
}

// hear records a notice, with a limit of 0 for none.
func (s *announcementSession) hear(t *testing.T, d *datadriven.TestData) string {
	var n lavenderridge.Notice
	b := "i-1"
	d.MaybeScanArgs(t, "run", &b)
	if v := -1.0; d.MaybeScanArgs(t, "limit", &v) {
		n.Limited, n.Limit = true, lavenderridge.Rate(v)
	}
	n.Invalid, n.Leaving = d.HasArg("invalid"), d.HasArg("leaving")
	k, x := s.announced.Heard(lavenderridge.BackendID(b), n, s.now)
	if k == "" {
		return "nothing new\n"
	}
	return k + ": " + x + "\n"
}

// told records what another daemon reports.
func (s *announcementSession) told(t *testing.T, d *datadriven.TestData) string {
	var v float64
	var a string
	d.ScanArgs(t, "limit", &v)
	d.ScanArgs(t, "age", &a)
	g, e := time.ParseDuration(a)
	if e != nil {
		d.Fatalf(t, "%v", e)
	}
	k, x := s.announced.Told(lavenderridge.HeardNotice{
		Notice: lavenderridge.Notice{Limited: true, Limit: lavenderridge.Rate(v), Leaving: d.HasArg("leaving")}, Backend: "i-1", Place: "n-9", Age: g,
	}, s.now)
	if k == "" {
		return "nothing new\n"
	}
	return k + ": " + x + "\n"
}

// demand sends as many requests as are admitted for a time, and returns how many that
// were in each second and how long a further one has to wait.
func (s *announcementSession) demand(t *testing.T, d *datadriven.TestData) string {
	n, b, x := 1, "i-1", "Normal"
	d.ScanArgs(t, "seconds", &n)
	d.MaybeScanArgs(t, "run", &b)
	d.MaybeScanArgs(t, "class", &x)
	k, o := lavenderridge.ParseClass(x)
	if !o {
		d.Fatalf(t, "unknown class %s", x)
	}
	var a []int
	for range n {
		c := 0
		for e := s.now.Add(time.Second); s.now.Before(e); s.now = s.now.Add(demandStep) {
			if s.announced.Take(lavenderridge.BackendID(b), k, s.now) == 0 {
				c++
			}
		}
		a = append(a, c)
	}
	return fmt.Sprintf("sent in each second %v, next in %s\n", a, s.announced.Wait(lavenderridge.BackendID(b), k, s.now).Round(time.Millisecond))
}

func (s *announcementSession) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "hear":
		return s.hear(t, d)
	case "told":
		return s.told(t, d)
	case "demand":
		return s.demand(t, d)
	case "advance":
		v, e := time.ParseDuration(d.CmdArgs[0].Key)
		if e != nil {
			d.Fatalf(t, "%v", e)
		}
		s.now = s.now.Add(v)
		return ""
	case "notice":
		b := "i-1"
		d.MaybeScanArgs(t, "run", &b)
		n := s.announced.Notice(lavenderridge.BackendID(b), s.now)
		return fmt.Sprintf("limited=%t limit=%g age=%s leaving=%t\n", n.Limited, n.Limit, n.Age, s.announced.Leaving(lavenderridge.BackendID(b)))
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

// TestAnnouncements plays what a backend server announces and how many requests it gets
// under a demand of 500 requests a second.
func TestAnnouncements(t *testing.T) {
	datadriven.Walk(t, "testdata/announcements", func(t *testing.T, p string) {
		s := &announcementSession{now: time.Unix(1000, 0)}
		s.announced = backendserver.NewAnnouncements(s.now)
		datadriven.RunTest(t, p, s.run)
	})
}

// limitModel sends requests under changing limits and keeps what was allowed.
type limitModel struct {
	now       time.Time
	announced *backendserver.Announcements
	limit     float64
	sent      []time.Time
	steps     []limitStep
}

// limitStep is a time and the sum of the limits up to it, in requests.
type limitStep struct {
	time    time.Time
	allowed float64
}

func (m *limitModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	a := m.limit * d.Seconds()
	if len(m.steps) > 0 {
		a += m.steps[len(m.steps)-1].allowed
	}
	m.steps = append(m.steps, limitStep{time: m.now, allowed: a})
}

// allowedSince returns the requests that the limits allowed from t until now.
func (m *limitModel) allowedSince(t time.Time) float64 {
	for _, s := range m.steps {
		if !s.time.Before(t) {
			return m.steps[len(m.steps)-1].allowed - s.allowed
		}
	}
	return 0
}

// check checks the window that ends now.
func (m *limitModel) check(t *rapid.T) {
	b := m.now.Add(-limitWindow)
	n := 0
	for _, v := range m.sent {
		if v.After(b) {
			n++
		}
	}
	if a := limitFactor*m.allowedSince(b) + limitSlack; float64(n) > a {
		t.Fatalf("%d requests in %s; %.1f are allowed", n, limitWindow, a)
	}
}

// TestNamedLimitHoldsInEveryWindow checks the rule LIMIT for random limits from 0 to
// 200 a second that change at random times, under a demand of random classes.
func TestNamedLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &limitModel{now: time.Unix(1000, 0)}
		m.announced = backendserver.NewAnnouncements(m.now)
		for range rapid.IntRange(1, 5).Draw(t, "limits") {
			first := len(m.steps) == 0
			m.limit = rapid.SampledFrom([]float64{0, 0.1, 1, 3.6, 7.5, 30.8, 200}).Draw(t, "limit")
			if first {
				// The rule counts a window that begins before the first limit as if that
				// limit had held in all of it.
				m.now = m.now.Add(-limitWindow)
				m.steps = append(m.steps, limitStep{time: m.now})
				m.advance(limitWindow)
			}
			m.announced.Heard("i-1", lavenderridge.Notice{Limited: true, Limit: lavenderridge.Rate(m.limit)}, m.now)
			k := lavenderridge.Class(rapid.IntRange(int(lavenderridge.ClassBackground), int(lavenderridge.ClassCritical)).Draw(t, "class"))
			pause := time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			m.advance(pause)
			for e := m.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond); m.now.Before(e); {
				if m.announced.Take("i-1", k, m.now) == 0 {
					m.sent = append(m.sent, m.now)
					m.check(t)
				}
				m.advance(5 * time.Millisecond)
			}
		}
	})
}
