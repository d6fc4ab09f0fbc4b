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
// source: the latest word of a reader is younger than that in calm.
func TestCalmFollowing(t *testing.T) {
	for _, w := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, configservice.DefaultApplyWithin} {
		p := configservice.NewApplyPlan(w)
		a := readerPause
		for !p.Asks(a, false) {
			a += time.Millisecond
		}
		a += p.AskInterval(1)
		f := configservice.FollowScheduler{}.Next(configservice.ReadState{HasInstanceList: true, HasVersion: true, Rank: 2, FollowAge: a, Apply: p}, 0)
		if !f.Skip {
			t.Errorf("within %s: a standby steps in when the word of a reader has the age %s", w, a)
		}
		if p.Asks(a, true) {
			t.Errorf("within %s: a reader asks who follows the source", w)
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
