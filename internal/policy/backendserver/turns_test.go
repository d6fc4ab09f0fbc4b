package backendserver_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// turnSession is an admission with one slot and the requests that wait for it.
type turnSession struct {
	admission *backendserver.Admission
	service   *lavenderridge.Service
	now       time.Time
	waiting   map[string]*backendserver.Waiter
}

// settle returns the requests that have been decided since the last call.
func (s *turnSession) settle() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(s.waiting)) {
		w := s.waiting[k]
		select {
		case <-w.Decided():
			delete(s.waiting, k)
			if e := w.Err(); e != nil {
				fmt.Fprintf(&b, "%s: %s\n", k, lavenderridge.AsRefusal(e).Detail)
			} else {
				fmt.Fprintf(&b, "%s runs\n", k)
			}
		default:
		}
	}
	return b.String()
}

// enter makes each of the words in a, which are an ID and its customer, ask for a slot.
func (s *turnSession) enter(a []string, k lavenderridge.Class, cost float64) string {
	var b strings.Builder
	for _, v := range a {
		d, c, _ := strings.Cut(v, "/")
		w, e := s.admission.EnterArrival(s.service, backendserver.Arrival{Class: k, Customer: lavenderridge.CustomerID(c), Cost: cost}, s.now)
		switch {
		case e != nil:
			fmt.Fprintf(&b, "%s: %s\n", d, lavenderridge.AsRefusal(e).Detail)
		case w == nil:
			fmt.Fprintf(&b, "%s runs\n", d)
		default:
			s.waiting[d] = w
		}
		b.WriteString(s.settle())
	}
	return b.String()
}

// TestTurns prints the order in which the requests of several customers get the only slot.
func TestTurns(t *testing.T) {
	s := &turnSession{now: time.Unix(0, 0), waiting: map[string]*backendserver.Waiter{}, service: &lavenderridge.Service{Slots: 1, Connections: 130}}
	datadriven.RunTest(t, "testdata/turns", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "open":
			s.admission = backendserver.NewAdmission(backendserver.NewLimiter(s.now, backendserver.WithFixedLimit()))
			d.ScanArgs(t, "queue", &s.service.Queue)
			return ""
		case "enter":
			var x string
			k, cost := lavenderridge.ClassNormal, 1.0
			if d.MaybeScanArgs(t, "class", &x) {
				k, _ = lavenderridge.ParseClass(x)
			}
			if d.MaybeScanArgs(t, "cost", &x) {
				_, _ = fmt.Sscan(x, &cost)
			}
			return s.enter(strings.Fields(d.Input), k, cost)
		case "leave":
			var b strings.Builder
			n := 1
			d.MaybeScanArgs(t, "times", &n)
			for range n {
				s.admission.Leave(s.now)
				b.WriteString(s.settle())
			}
			return b.String()
		case "abandon":
			k := d.CmdArgs[0].Key
			o := s.admission.Abandon(s.waiting[k], s.now)
			delete(s.waiting, k)
			return fmt.Sprintf("%t\n", o)
		}
		d.Fatalf(t, "unknown command %s", d.Cmd)
		return ""
	})
}
