package peer_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// TestSentSuspects compares what an exchange contains of a daemon's suspects with golden
// files. It guards against messages that repeat all suspects to daemons that have them,
// and against records that a daemon lacks and is never sent.
func TestSentSuspects(t *testing.T) {
	b := time.Unix(0, 0)
	datadriven.Walk(t, "testdata/sentsuspects", func(t *testing.T, p string) {
		s := peer.NewSentSuspects()
		datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string {
			var at, to string
			var i uint64
			d.ScanArgs(t, "at", &at)
			d.ScanArgs(t, "daemon", &to)
			d.MaybeScanArgs(t, "incarnation", &i)
			e, x := time.ParseDuration(at)
			if x != nil {
				t.Fatal(x)
			}
			n, c := lavenderridge.InstanceID(to), b.Add(e)
			a := parseSuspects(t, d.Input, c, b)
			switch d.Cmd {
			case "send":
				u := s.ForCall(n, a, c)
				s.Exchanged(n, lavenderridge.Incarnation(i), u, c)
				return formatSuspects(u)
			case "reply":
				u := s.ForReply(n, a, c)
				s.Replied(n, lavenderridge.Incarnation(i), u, c)
				return formatSuspects(u)
			case "lose":
				return formatSuspects(s.ForCall(n, a, c))
			case "receive":
				s.Restarted(n, lavenderridge.Incarnation(i))
				s.Exchanged(n, lavenderridge.Incarnation(i), a, c)
				return ""
			}
			t.Fatalf("no command %q", d.Cmd)
			return ""
		})
	})
}

// parseSuspects reads a record from each line: its number, its state, and the time of its
// event after b.
func parseSuspects(t *testing.T, s string, c, b time.Time) []lavenderridge.Suspect {
	t.Helper()
	var a []lavenderridge.Suspect
	for l := range strings.Lines(s) {
		f := strings.Fields(l)
		n, e := strconv.ParseUint(f[0], 10, 64)
		if e != nil {
			t.Fatal(e)
		}
		d, e := time.ParseDuration(f[2])
		if e != nil {
			t.Fatal(e)
		}
		a = append(a, lavenderridge.Suspect{
			Fingerprint: lavenderridge.Fingerprint(n), Quarantined: f[1] == "quarantined", Cleared: f[1] == "cleared",
			Remaining: b.Add(d + 10*time.Minute).Sub(c),
		})
	}
	return a
}

func formatSuspects(a []lavenderridge.Suspect) string {
	var b strings.Builder
	for _, v := range a {
		state := "suspected"
		switch {
		case v.Quarantined:
			state = "quarantined"
		case v.Cleared:
			state = "cleared"
		}
		fmt.Fprintf(&b, "%d %s\n", v.Fingerprint, state)
	}
	return b.String()
}

// TestSentSuspectsOfGoneDaemons guards against memory that grows with each daemon that was
// ever met: instances are replaced all the time, under new names.
func TestSentSuspectsOfGoneDaemons(t *testing.T) {
	const perMinute, minutes = 4, 60
	s := peer.NewSentSuspects()
	n := time.Unix(0, 0)
	for i := range perMinute * minutes {
		n = n.Add(time.Minute / perMinute)
		s.Exchanged(lavenderridge.InstanceID(fmt.Sprint(i)), 1, []lavenderridge.Suspect{{Fingerprint: 1, Remaining: time.Minute}}, n)
	}
	if d := s.Daemons(); d > perMinute {
		t.Errorf("records of %d daemons are kept; want at most those of the last minute, %d", d, perMinute)
	}
}

// TestSentSuspectsOfSilentDaemon guards against records of one daemon that pile up at
// another one that has no suspects itself, and so never sends any.
func TestSentSuspectsOfSilentDaemon(t *testing.T) {
	const perMinute, minutes = 4, 60
	s := peer.NewSentSuspects()
	n := time.Unix(0, 0)
	for i := range perMinute * minutes {
		n = n.Add(time.Minute / perMinute)
		s.Exchanged("n-1", 1, []lavenderridge.Suspect{{Fingerprint: lavenderridge.Fingerprint(i), Remaining: time.Minute}}, n)
		s.ForCall("n-1", nil, n)
	}
	if d := s.Records("n-1"); d > perMinute {
		t.Errorf("%d records are kept; want at most those of the last minute, %d", d, perMinute)
	}
}
