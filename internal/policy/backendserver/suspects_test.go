package backendserver_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// suspectMachine sends several owners a request that crashes each backend
// server (the culprit), and frequent innocent requests.
type suspectMachine struct {
	now     time.Time
	end     time.Time
	stores  []*backendserver.Suspects
	culprit *lavenderridge.Request
	others  []*lavenderridge.Request
	crashes map[int]int // crashes by the culprit, by index of the owner
	gossip  bool        // owners learn of each crash before the next request
}

func (m *suspectMachine) sendCulprit(t *rapid.T) {
	i := rapid.IntRange(0, len(m.stores)-1).Draw(t, "owner")
	v, w := m.stores[i].Disposition(m.culprit, m.now)
	if v == backendserver.DispositionRefused {
		if w <= 0 {
			t.Fatal("refused without a remaining quarantine")
		}
		return
	}
	exclusive := v == backendserver.DispositionExclusive
	if !exclusive {
		m.crashInnocents(t, i)
	}
	m.stores[i].Crashed(m.culprit, exclusive, m.now)
	m.crashes[i]++
	if m.gossip {
		m.exchangeAll()
	}
}

// crashInnocents records the crash for some of the innocent requests as well,
// as if they had run concurrently with the culprit.
func (m *suspectMachine) crashInnocents(t *rapid.T, i int) {
	for _, r := range m.others {
		if v, _ := m.stores[i].Disposition(r, m.now); v == backendserver.DispositionNormal && rapid.Bool().Draw(t, "concurrent") {
			m.stores[i].Crashed(r, false, m.now)
		}
	}
}

func (m *suspectMachine) sendInnocent(t *rapid.T) {
	i := rapid.IntRange(0, len(m.stores)-1).Draw(t, "owner")
	r := rapid.SampledFrom(m.others).Draw(t, "request")
	v, _ := m.stores[i].Disposition(r, m.now)
	if v == backendserver.DispositionRefused {
		t.Fatalf("%s is quarantined", r.Path)
	}
	m.stores[i].Succeeded(r, m.now)
	if v, _ := m.stores[i].Disposition(r, m.now); v != backendserver.DispositionNormal {
		t.Fatalf("%s is suspected after its success", r.Path)
	}
}

func (m *suspectMachine) exchangeAll() {
	for _, a := range m.stores {
		for _, b := range m.stores {
			b.Merge(a.Suspects(m.now), m.now)
		}
	}
}

func (m *suspectMachine) exchange(t *rapid.T) {
	a := rapid.SampledFrom(m.stores).Draw(t, "from")
	b := rapid.SampledFrom(m.stores).Draw(t, "to")
	s := a.Suspects(m.now)
	m.sleep(t)
	b.Merge(s, m.now)
}

// sleep advances the clock, but not beyond the first quarantine.
func (m *suspectMachine) sleep(t *rapid.T) {
	n := m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "sleep")) * time.Millisecond)
	if n.Before(m.end) {
		m.now = n
	}
}

func (m *suspectMachine) check(t *rapid.T) {
	n := 0
	for i, v := range m.crashes {
		if n += v; v > 2 {
			t.Fatalf("the culprit crashed the backend server of owner %d %d times", i, v)
		}
	}
	if m.gossip && n > 2 {
		t.Fatalf("%d crashes by the culprit although the owners learnt of each one; want at most 2", n)
	}
}

// TestSuspects checks that the culprit crashes each backend server at most
// twice (first together with other requests, then exclusively), at most two in
// all if the owners gossip, and that innocent requests are never quarantined.
func TestSuspects(t *testing.T) {
	for _, spread := range []bool{false, true} {
		t.Run(fmt.Sprintf("gossip=%t", spread), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				n := time.Unix(1000, 0)
				m := &suspectMachine{
					now: n, end: n.Add(100 * time.Second), gossip: spread, crashes: map[int]int{},
					culprit: &lavenderridge.Request{Service: "billing", Key: "018f"},
					others:  []*lavenderridge.Request{{Method: "GET", Path: "/a"}, {Method: "GET", Path: "/b"}, {Method: "POST", Path: "/a", Body: []byte("x")}},
				}
				for range rapid.IntRange(1, 5).Draw(t, "owners") {
					m.stores = append(m.stores, backendserver.NewSuspects())
				}
				t.Repeat(map[string]func(*rapid.T){
					"Culprit": m.sendCulprit, "Innocent": m.sendInnocent, "Exchange": m.exchange, "Sleep": m.sleep, "": m.check,
				})
			})
		})
	}
}

// TestSuspectsExpireDespiteExchange passes one record around between three
// stores. It guards against records that renew each other and so never expire.
func TestSuspectsExpireDespiteExchange(t *testing.T) {
	n := time.Unix(1000, 0)
	s := []*backendserver.Suspects{backendserver.NewSuspects(), backendserver.NewSuspects(), backendserver.NewSuspects()}
	s[0].Crashed(&lavenderridge.Request{Path: "/a"}, false, n)
	for i := 0; i < 3*700; i++ {
		a := s[i%3].Suspects(n)
		n = n.Add(333 * time.Millisecond)
		s[(i+1)%3].Merge(a, n)
	}
	for i, v := range s {
		if a := v.Suspects(n); len(a) > 0 {
			t.Errorf("store %d still holds %+v after %s", i, a, n.Sub(time.Unix(1000, 0)))
		}
	}
}

// TestSuspectsAreBounded records more suspects than the store holds, and
// checks that the quarantined one is kept.
func TestSuspectsAreBounded(t *testing.T) {
	n := time.Unix(1000, 0)
	s := backendserver.NewSuspects()
	q := &lavenderridge.Request{Path: "/culprit"}
	s.Crashed(q, true, n)
	for i := range 1500 {
		s.Crashed(&lavenderridge.Request{Path: fmt.Sprint(i)}, false, n.Add(time.Duration(i)*time.Millisecond))
	}
	if v, _ := s.Disposition(q, n.Add(2*time.Second)); v != backendserver.DispositionRefused {
		t.Error("the quarantined request was evicted in favour of suspects")
	}
	if a := s.Suspects(n); len(a) > 32 {
		t.Errorf("%d records returned; want at most 32", len(a))
	}
}

// BenchmarkSuspects measures a full store: deciding on a request, and merging
// the records of a neighbour that contain nothing new.
func BenchmarkSuspects(b *testing.B) {
	n := time.Unix(1000, 0)
	s := backendserver.NewSuspects()
	for i := range 1024 {
		s.Crashed(&lavenderridge.Request{Path: fmt.Sprint(i)}, false, n)
	}
	r := &lavenderridge.Request{Method: "POST", Path: "/roster/1", Body: make([]byte, 256)}
	b.Run("Disposition", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.Disposition(r, n)
		}
	})
	a := s.Suspects(n)
	b.Run("Merge", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.Merge(a, n)
		}
	})
}
