package operator_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// tableSession runs the commands of the golden file on a table.
type tableSession struct {
	table   *operator.ClientTable
	clients map[string]*operator.Client
	time    time.Time
	closed  []string
}

func (s *tableSession) run(t *testing.T, d *datadriven.TestData) string {
	var n string
	var k int
	if d.HasArg("client") {
		d.ScanArgs(t, "client", &n)
	}
	if d.HasArg("KiB") {
		d.ScanArgs(t, "KiB", &k)
	}
	b, c, r := lavenderridge.ByteCount(k)*lavenderridge.Kibibyte, s.clients[n], ""
	switch d.Cmd {
	case "table":
		l := operator.ClientLimits{Memory: b}
		d.MaybeScanArgs(t, "connections", (*int)(&l.Connections))
		d.MaybeScanArgs(t, "address", (*int)(&l.AddressConnections))
		s.table, s.clients = operator.NewClientTable(l, nil), map[string]*operator.Client{}
	case "enter":
		a := "10.0.0.1"
		d.MaybeScanArgs(t, "from", &a)
		if s.clients[n] = s.table.Enter(a, s.time, func() { s.closed = append(s.closed, n) }); s.clients[n] == nil {
			r = "refused\n"
		}
	case "hold":
		if !c.Hold(b, s.time) {
			r = "refused\n"
		}
	case "body":
		c.ReceiveBody(b)
	case "relieve":
		r = fmt.Sprintf("relieved %t\n", c.Relieve(b, s.time))
	case "progress":
		c.Progress(s.time)
	case "begin":
		c.Begin()
	case "deliver":
		c.Deliver(s.time)
	case "delivered":
		c.Delivered()
	case "end":
		c.End()
		c.Served(s.time)
	case "answered":
		r = fmt.Sprintf("must be taken %t\n", c.Answered())
	case "taken":
		c.Taken(s.time)
	case "leave":
		c.Leave()
	case "advance":
		v, e := time.ParseDuration(d.CmdArgs[0].Key)
		if e != nil {
			d.Fatalf(t, "%v", e)
		}
		s.time = s.time.Add(v)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	v := s.closed
	s.closed = nil
	slices.Sort(v)
	if len(v) > 0 {
		r += "closed " + strings.Join(v, ", ") + "\n"
	}
	return r + fmt.Sprintf("%d connections, %d KiB\n", s.table.Connections(), s.table.Used()/lavenderridge.Kibibyte)
}

// TestClientTable plays clients that hold more than there is room for: who holds most and
// progresses least is closed, and nobody whose request runs.
func TestClientTable(t *testing.T) {
	s := &tableSession{time: time.Unix(1_800_000_000, 0)}
	datadriven.RunTest(t, "testdata/clienttable", s.run)
}

// TestClientTableStaysWithinItsLimits plays random clients against the limits of a table.
func TestClientTableStaysWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const connections, memory = 5, 100
		l := operator.NewClientTable(operator.ClientLimits{Connections: connections, Memory: memory}, nil)
		m := time.Unix(1_800_000_000, 0)
		running := map[*operator.Client]bool{}
		var open []*operator.Client
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				var c *operator.Client
				c = l.Enter("a", m, func() {
					if running[c] {
						t.Fatal("a client was closed whose request runs")
					}
				})
				if c != nil {
					open = append(open, c)
				}
			},
			"hold": func(t *rapid.T) {
				if len(open) > 0 {
					rapid.SampledFrom(open).Draw(t, "client").Hold(lavenderridge.ByteCount(rapid.IntRange(1, memory).Draw(t, "bytes")), m)
				}
			},
			"begin": func(t *rapid.T) {
				if len(open) > 0 {
					if c := rapid.SampledFrom(open).Draw(t, "client"); !running[c] {
						running[c] = true
						c.Begin()
					}
				}
			},
			"end": func(*rapid.T) {
				for c := range running {
					delete(running, c)
					c.End()
				}
			},
			"leave": func(*rapid.T) {
				if len(open) > 0 {
					open[0].Leave()
					delete(running, open[0])
					open = open[1:]
				}
			},
			"wait": func(t *rapid.T) { m = m.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second) },
			"": func(t *rapid.T) {
				if n, u := l.Connections(), l.Used(); n > connections || u > memory || u < 0 {
					t.Fatalf("%d connections and %d bytes", n, u)
				}
			},
		})
		for _, c := range open {
			c.Leave()
		}
		if n, u := l.Connections(), l.Used(); n != 0 || u != 0 {
			t.Fatalf("%d connections and %d bytes at the end", n, u)
		}
	})
}

// TestDoorLimits prints the limits of the machines of the pages, and of the test of crowds.
func TestDoorLimits(t *testing.T) {
	datadriven.RunTest(t, "testdata/doorlimits", func(t *testing.T, d *datadriven.TestData) string {
		var n, b, m int
		d.ScanArgs(t, "descriptors", &n)
		d.ScanArgs(t, "backend", &b)
		d.ScanArgs(t, "megabytes", &m)
		l := operator.NewDoorLimits(lavenderridge.Connections(n), lavenderridge.Connections(b), lavenderridge.ByteCount(m)*1e6)
		return fmt.Sprintf("callers %+v\npeers %+v\noperators %+v\n", l.Callers, l.Peers, l.Operators)
	})
}
