package operator

import (
	"slices"
	"strings"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// storyLead is how long before a request's first line the story of what its
// daemons believed begins: the longest time that a backend server stays cold,
// by the users' brief, and a neighbour's word that is out of date.
const storyLead = 10 * time.Second

// perRequest are the events that tell of one request and of nothing else.
var perRequest = []string{"RequestAnswered", "RequestRefused", "AttemptFailed"}

// Story returns what the lines a tell of the request d: its own lines and those
// of the calls below it, whose IDs begin with its own and a dot, and what the
// daemons that took part in it came to believe shortly before and meanwhile.
// The lines come in the order of their times.
func Story(a []lavenderridge.LogLine, d lavenderridge.RequestID) []lavenderridge.LogLine {
	a = slices.Clone(a)
	slices.SortStableFunc(a, func(x, y lavenderridge.LogLine) int { return x.Time.Compare(y.Time) })
	p := map[lavenderridge.InstanceID]bool{}
	var b, e time.Time
	for i := range a {
		if !of(&a[i], d) {
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
		if of(&l, d) {
			return false
		}
		return slices.Contains(perRequest, l.Event) || !p[l.Instance] || l.Time.Before(b.Add(-storyLead)) || l.Time.After(e)
	})
}

func of(l *lavenderridge.LogLine, d lavenderridge.RequestID) bool {
	return l.Subject == string(d) || strings.HasPrefix(l.Subject, string(d)+".")
}
