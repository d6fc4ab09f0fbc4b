package operator

import (
	"slices"
	"strings"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// timelineLead is how long before the first line of a request its timeline
// begins. It covers the longest cold start of a backend server in the users'
// requirements, and the age of an outdated report from a neighbour.
const timelineLead = 10 * time.Second

// requestEvents are the events that concern a single request only.
var requestEvents = []string{"RequestAnswered", "RequestRefused", "AttemptFailed"}

// RequestTimeline returns the lines of a that explain the request d, sorted by
// time: the lines of the request and of its nested requests, whose IDs begin with
// d and a dot, and the other lines, about no single request, that the daemons
// involved logged from timelineLead before its first line until its last one.
func RequestTimeline(a []lavenderridge.LogLine, d lavenderridge.RequestID) []lavenderridge.LogLine {
	a = slices.Clone(a)
	slices.SortStableFunc(a, func(x, y lavenderridge.LogLine) int { return x.Time.Compare(y.Time) })
	p := map[lavenderridge.InstanceID]bool{}
	var b, e time.Time
	for i := range a {
		if !belongsTo(&a[i], d) {
			continue
		}
		if b.IsZero() {
			b = a[i].Time
		}
		e = a[i].Time
		for _, n := range []lavenderridge.InstanceID{a[i].Instance, a[i].Place, a[i].Target} {
			p[n] = n != ""
		}
	}
	return slices.DeleteFunc(a, func(l lavenderridge.LogLine) bool {
		if belongsTo(&l, d) {
			return false
		}
		return slices.Contains(requestEvents, l.Event) || !p[l.Instance] || l.Time.Before(b.Add(-timelineLead)) || l.Time.After(e)
	})
}

// belongsTo reports whether l is a line of the request d or of a nested request.
func belongsTo(l *lavenderridge.LogLine, d lavenderridge.RequestID) bool {
	return l.Subject == string(d) || strings.HasPrefix(l.Subject, string(d)+".")
}
