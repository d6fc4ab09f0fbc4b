package peer_test

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// session drives a world by the commands of a golden file. Nothing is left to
// chance: messages arrive at once and backend servers take every run.
type session struct {
	*world
	named map[string]*worldKey
}

// TestSessions runs the golden files of whole sessions.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/homes", func(t *testing.T, p string) {
		s := &session{world: newWorld(peer.Rules{}, func(n int) int { return n - 1 }), named: map[string]*worldKey{}}
		datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string {
			s.command(t, d)
			if s.fault != "" {
				t.Fatal(s.fault)
			}
			return s.describe(d)
		})
	})
}

func (s *session) command(t *testing.T, d *datadriven.TestData) {
	var n, k string
	d.MaybeScanArgs(t, "at", &n)
	d.MaybeScanArgs(t, "key", &k)
	p := s.find(lavenderridge.InstanceID(n))
	s.last = ""
	switch d.Cmd {
	case "pass":
		var v string
		d.ScanArgs(t, "time", &v)
		e, x := time.ParseDuration(v)
		if x != nil {
			t.Fatal(x)
		}
		for ; e > 0; e -= 10 * time.Millisecond {
			s.pass(min(e, 10*time.Millisecond))
		}
	case "send":
		if s.named[k] == nil {
			s.serial++
			i := s.now.UnixMilli()
			s.named[k] = &worldKey{first: s.now, timed: true, key: lavenderridge.IdempotencyKey(fmt.Sprintf("%08x-%04x-7000-8000-%012x", i>>16, i&0xffff, s.serial))}
		}
		s.sendBy(p, s.named[k])
		if s.last == "" {
			s.last = "sent to " + string(s.membership(p.held).Home(s.named[k].key))
		}
	case "finish":
		for _, q := range s.processes {
			for running(q) && len(q.runs) > 0 {
				s.finish()
			}
		}
	case "kill":
		p.up = false
	case "stop":
		s.push(p, p.id)
		p.up = false
	case "start":
		s.start(p, s.latest())
	case "freeze":
		p.frozen = true
	case "thaw":
		p.frozen = false
	case "list":
		s.publish(d.Input)
	case "learn":
		for _, q := range s.processes {
			if running(q) && (p == nil || q == p) {
				q.held = s.latest()
				s.adopt(q)
			}
		}
	case "move":
		s.push(p, "")
	case "fleet":
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}

// publish puts a list in force at the source: one instance a line, with its
// state.
func (s *session) publish(v string) {
	l := &lavenderridge.InstanceList{}
	for i, n := range s.lists[0].Instances {
		for x := range strings.Lines(v) {
			if f := strings.Fields(x); f[0] == string(n.ID) {
				n = s.lists[0].Instances[i]
				n.State = lavenderridge.InstanceState(f[1])
				l.Instances = append(l.Instances, n)
			}
		}
	}
	s.lists = append(s.lists, l)
}

func (s *session) describe(d *datadriven.TestData) string {
	if d.Cmd != "fleet" {
		return cmp.Or(s.last, "done") + "\n"
	}
	var b strings.Builder
	for _, p := range s.processes {
		switch v := p.activation.View(); {
		case !p.up:
			fmt.Fprintf(&b, "%s down\n", p.id)
		case p.frozen:
			fmt.Fprintf(&b, "%s frozen\n", p.id)
		default:
			fmt.Fprintf(&b, "%s list %d active %t fenced %t waiting %v entries %d\n", p.id, p.held.InstanceList, v.Active(s.clock(p)), v.Fenced(s.clock(p)), p.activation.Waiting(), p.ledger.Size())
		}
	}
	return b.String()
}
