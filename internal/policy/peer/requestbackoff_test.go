package peer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// TestRequestBackoff replays a golden session. Each command prints the instances to which
// a request may be sent.
func TestRequestBackoff(t *testing.T) {
	p, now := peer.NewRequestBackoff(), time.Unix(4_000_000_000, 0)
	all := []lavenderridge.InstanceID{"a", "b", "c"}
	datadriven.RunTest(t, "testdata/requestbackoff", func(t *testing.T, d *datadriven.TestData) string {
		for _, a := range d.CmdArgs {
			n := lavenderridge.InstanceID(a.Key)
			switch d.Cmd {
			case "fail":
				p.Failed(n, now, 0.5)
			case "message":
				p.MessageReceived(n)
			case "keep":
				p.Keep([]lavenderridge.InstanceID{n})
			case "advance":
				v, e := time.ParseDuration(a.Key)
				if e != nil {
					d.Fatalf(t, "%v", e)
				}
				now = now.Add(v)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
		}
		return strings.Trim(fmt.Sprint(p.Due(all, now)), "[]") + "\n"
	})
}
