package peer_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
)

// TestSessions runs the golden files of sessions. They print only output that does not
// depend on jitter.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/session", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			var f *fleet
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "fleet" {
					var n, c int
					d.ScanArgs(t, "daemons", &n)
					d.ScanArgs(t, "data-centres", &c)
					f = newFleet(n, c, 1)
					return ""
				}
				return f.command(t, d)
			})
			f.close()
		})
	})
}

// command runs one command of a golden file and returns its output.
func (f *fleet) command(t *testing.T, d *datadriven.TestData) string {
	var a action
	var s, ms int
	d.MaybeScanArgs(t, "node", &a.Node)
	d.MaybeScanArgs(t, "other", &a.Other)
	d.MaybeScanArgs(t, "seconds", &s)
	d.MaybeScanArgs(t, "milliseconds", &ms)
	switch d.Cmd {
	case "launch":
		for _, n := range f.nodes {
			n.launch()
		}
	case "wait":
		f.run(time.Duration(s)*time.Second + time.Duration(ms)*time.Millisecond)
	case "status":
		if d.HasArg("node") {
			return fmt.Sprintf("%s ready %t\n", f.nodes[a.Node].self.ID, f.nodes[a.Node].proc.isReady())
		}
		var b strings.Builder
		for _, n := range f.nodes {
			b.WriteString(n.status())
		}
		return b.String()
	case "decisions":
		return f.decisions()
	case "heal":
		f.heal()
	default:
		a.Name = strings.ReplaceAll(d.Cmd, "-", " ")
		f.apply(a)
	}
	if f.violation != nil {
		return f.violation.Error() + "\n"
	}
	return ""
}

// status describes the node's versions, the neighbours that are down and the
// versions that were rejected.
func (n *node) status() string {
	if n.proc == nil {
		return string(n.self.ID) + " down\n"
	}
	var b strings.Builder
	v := n.proc.store.Stamps().Versions()
	fmt.Fprintf(&b, "%s catalogue %d instances %d ready %t", n.self.ID, v.Catalogue, v.InstanceList, n.proc.isReady())
	for _, m := range n.proc.neighbourhood.Neighbours(n.Now()) {
		if m.Down {
			fmt.Fprintf(&b, ", %s does not respond", m.Instance)
		}
	}
	for _, r := range n.proc.store.Rejections() {
		if r.Origin == lavenderridge.OriginSource || r.Conflict {
			fmt.Fprintf(&b, ", %s %d rejected: %s", r.Document, r.Version, r.Findings[0])
		}
	}
	return b.String() + "\n"
}

// decisions returns the decisions about the gates since the last call, in the order
// of the daemons.
func (f *fleet) decisions() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var b strings.Builder
	for _, n := range f.nodes {
		for _, l := range f.log {
			if strings.HasPrefix(l, string(n.self.ID)+".") && (strings.Contains(l, " Gate") || strings.Contains(l, " Started")) {
				b.WriteString(l + "\n")
			}
		}
	}
	f.log = nil
	return b.String()
}
