package configservice_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// readerPause is the longest time between two watches of a reader, with the call.
const readerPause = 200 * time.Millisecond

// TestCalmFollowing guards against daemons that step in although the readers follow the
// source: the latest word of a reader is younger than that in calm, also for daemons that
// ask one which asks a reader.
func TestCalmFollowing(t *testing.T) {
	for _, w := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, configservice.DefaultApplyWithin} {
		p := configservice.NewApplyPlan(w)
		a := readerPause
		for k, r := range []int{2, 4} { // a standby asks a reader
			a += p.AskDelay(0, 1)
			if f := (configservice.FollowScheduler{}).Next(configservice.ReadState{HasInstanceList: true, HasVersion: true, Rank: r, FollowAge: a, Apply: p}, 0); !f.Skip {
				t.Errorf("within %s: rank %d steps in when the word of a reader, %d calls away, has the age %s", w, r, k+1, a)
			}
		}
		if p.Asks(a, true) {
			t.Errorf("within %s: a reader asks who follows the source", w)
		}
		if d := p.AskDelay(0, 0); !p.Asks(d, false) {
			t.Errorf("within %s: no question after the delay %s", w, d)
		}
	}
}

// TestSourceContactFollowing plays calls of a daemon and replies of others, and prints what
// the daemon tells and knows of who follows the source. Times and ages are in milliseconds.
// It guards against word that gets younger on its way, or outlives the call that it is about.
func TestSourceContactFollowing(t *testing.T) {
	b := time.Unix(1000, 0)
	var s *configservice.SourceContact
	datadriven.RunTest(t, "testdata/following", func(t *testing.T, d *datadriven.TestData) string {
		var at, n int
		var by string
		d.MaybeScanArgs(t, "at", &at)
		d.MaybeScanArgs(t, "by", &by)
		m := b.Add(time.Duration(at) * time.Millisecond)
		switch d.Cmd {
		case "new":
			s = configservice.NewSourceContact(b)
		case "begin":
			d.ScanArgs(t, "wait", &n)
			s.CallBegun(m, time.Duration(n)*time.Millisecond)
		case "respond":
			s.SourceResponded(m)
			s.CallEnded(m, nil)
		case "fail":
			s.CallEnded(m, lavenderridge.ErrHistoryLost)
		case "reply":
			d.ScanArgs(t, "age", &n)
			s.PeerFollows(lavenderridge.Following{By: lavenderridge.InstanceID(by), Age: time.Duration(n) * time.Millisecond}, m)
		}
		f := s.Following("me", m)
		h := "nobody heard"
		if v := s.HeardFollowing(); !v.IsZero() {
			h = "heard " + m.Sub(v).String()
		}
		return string(f.By) + " " + f.Age.String() + ", " + h + "\n"
	})
}
