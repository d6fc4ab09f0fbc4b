package peer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
)

// TestNeighbourhood replays a golden session in which neighbours fail, return and
// report newer versions. Times are in seconds.
func TestNeighbourhood(t *testing.T) {
	base := time.Unix(1_000, 0)
	h := NewNeighbourhood("instance-00000", "dc-0")
	p := NewPullScheduler(lavenderridge.DocumentCatalogue)
	datadriven.RunTest(t, "testdata/neighbourhood", func(t *testing.T, d *datadriven.TestData) string {
		var n, c, at, version, incarnation int
		var id string
		d.MaybeScanArgs(t, "instances", &n)
		d.MaybeScanArgs(t, "data-centres", &c)
		d.MaybeScanArgs(t, "at", &at)
		d.MaybeScanArgs(t, "id", &id)
		d.MaybeScanArgs(t, "version", &version)
		d.MaybeScanArgs(t, "incarnation", &incarnation)
		now := base.Add(time.Duration(at) * time.Second)
		s := lavenderridge.Sender{Instance: lavenderridge.InstanceID(id), Incarnation: lavenderridge.Incarnation(incarnation)}
		s.Stamps.Catalogue.Version = lavenderridge.Version(version)
		have := lavenderridge.Versions{Catalogue: 5}
		switch d.Cmd {
		case "list":
			h.SetList(listOf(n, c))
		case "failed":
			h.Failed(s.Instance)
		case "message":
			o := h.MessageReceived(s, d.HasArg("called"), false, now)
			return fmt.Sprintf("accepted %t, pull %t\n", o, o && p.MessageReceived(s, have.Catalogue))
		case "behind":
			return names(h.Behind(have, now))
		case "next":
			if v := h.Next(now); v != nil {
				return string(v.ID) + "\n"
			}
			return "none\n"
		case "pull":
			i, o := p.Next(have.Catalogue, now)
			return fmt.Sprintf("%s %t\n", i, o)
		case "pull-ended":
			p.Ended(s.Instance)
			return ""
		case "pull-failed":
			p.Failed(s.Instance, d.HasArg("busy"), now)
			return ""
		}
		return names(h.Reachable(now))
	})
}

func names(a []*lavenderridge.Instance) string {
	s := make([]string, len(a))
	for i, n := range a {
		s[i] = string(n.ID) + "/" + string(n.DataCentre)
	}
	return strings.Join(s, " ") + "\n"
}
