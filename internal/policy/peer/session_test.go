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

// session runs the commands of a golden file against a world. Its choices are
// fixed: messages are delivered immediately and backend servers accept every run.
type session struct {
	*world
	named map[string]*worldKey
}

// TestSessions compares sessions with golden files: for each command the answer
// to the caller, or the state of every home.
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
	s.lastAnswer = ""
	switch d.Cmd {
	case "advance":
		var v string
		d.ScanArgs(t, "time", &v)
		e, x := time.ParseDuration(v)
		if x != nil {
			t.Fatal(x)
		}
		for ; e > 0; e -= 10 * time.Millisecond {
			s.advance(min(e, 10*time.Millisecond))
		}
	case "send":
		if s.named[k] == nil {
			s.serial++
			i := s.now.UnixMilli()
			s.named[k] = &worldKey{submittedAt: s.now, hasIssueTime: true, key: lavenderridge.IdempotencyKey(fmt.Sprintf("%08x-%04x-7000-8000-%012x", i>>16, i&0xffff, s.serial))}
		}
		s.sendBy(p, s.named[k])
		if s.lastAnswer == "" {
			s.lastAnswer = "sent to " + string(s.membership(p.adopted).Home(s.named[k].key))
		}
	case "finish":
		for _, q := range s.processes {
			for running(q) && len(q.runs) > 0 {
				s.finishRun()
			}
		}
	case "kill":
		p.up = false
	case "stop":
		s.handOverWithout(p, p.id)
		p.up = false
	case "start":
		s.start(p, s.latest())
	case "pause":
		p.paused = true
	case "resume":
		p.paused = false
	case "list":
		s.publish(d.Input)
	case "adopt":
		for _, q := range s.processes {
			if running(q) && (p == nil || q == p) {
				q.adopted = s.latest()
				s.adopt(q)
			}
		}
	case "hand-over":
		s.handOverWithout(p, "")
	case "fleet":
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}

// publish adds an instance list to the source. Each line of v holds an instance
// and its state.
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

// describe returns the last answer, or the state of the fleet for the command
// "fleet".
func (s *session) describe(d *datadriven.TestData) string {
	if d.Cmd != "fleet" {
		return cmp.Or(s.lastAnswer, "done") + "\n"
	}
	var b strings.Builder
	for _, p := range s.processes {
		switch v := p.activation.View(); {
		case !p.up:
			fmt.Fprintf(&b, "%s down\n", p.id)
		case p.paused:
			fmt.Fprintf(&b, "%s paused\n", p.id)
		default:
			fmt.Fprintf(&b, "%s list %d active %t fenced %t waiting %v entries %d\n", p.id, p.adopted.InstanceList, v.Active(s.clock(p)), v.Fenced(s.clock(p)), p.activation.Waiting(), p.ledger.Size())
		}
	}
	return b.String()
}
