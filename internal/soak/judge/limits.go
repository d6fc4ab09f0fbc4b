package judge

import (
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// A limit must be kept from limitContact after it was first named: in any
	// limitWindow, a backend server gets at most limitFactor times what it allows, plus
	// limitSlack requests. Those count that began at daemons which had passed on a
	// response with the limit limitNotice before.
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitNotice  = 500 * time.Millisecond
	limitFactor  = 1.5
	limitSlack   = 5
)

// checkLimits reports backend servers that got more requests than the limits that they
// named.
func (v *History) checkLimits(f *lavenderridge.Findings) {
	m := map[lavenderridge.RequestID]Send{}
	for _, s := range v.Sends {
		m[s.ID] = s
	}
	for _, p := range v.LimitPeriods {
		a, b := v.runsOfTold(p, m), 0
		for i := range a {
			for a[i].Sub(a[b]) >= limitWindow {
				b++
			}
			if n, k := i-b+1, limitFactor*float64(p.Rate)*limitWindow.Seconds()+limitSlack; float64(n) > k {
				f.Add(string(p.Instance), "got %d requests in %s %s after it named a limit of %g a second; %g are allowed", n, limitWindow, a[i].Sub(p.From).Round(time.Millisecond), p.Rate, k)
				break
			}
		}
	}
}

// runsOfTold returns the times, in order, at which requests began to run at the backend
// server of the period p that count towards its limit. The map m contains all sends.
func (v *History) runsOfTold(p LimitPeriod, m map[lavenderridge.RequestID]Send) []time.Time {
	var w []Send
	for _, r := range v.Runs {
		if s, o := m[r.Request]; o && r.Instance == p.Instance && s.Result == Answered && !r.Begun.Before(p.From) && r.Begun.Before(p.To) {
			w = append(w, s)
		}
	}
	var a []time.Time
	for _, r := range v.Runs {
		s, o := m[r.Request]
		if !o || r.Instance != p.Instance || r.Begun.Before(p.From.Add(limitContact)) || r.Begun.After(p.To) {
			continue
		}
		if slices.ContainsFunc(w, func(k Send) bool {
			return k.Daemon == s.Daemon && !k.Ended.After(r.Begun.Add(-limitNotice)) && !v.interrupted(s.Daemon, k.Ended.Add(-limitNotice), r.Begun)
		}) {
			a = append(a, r.Begun)
		}
	}
	slices.SortFunc(a, time.Time.Compare)
	return a
}

// interrupted reports whether a fault or a planned shutdown affected the daemon n
// between a and b.
func (v *History) interrupted(n lavenderridge.InstanceID, a, b time.Time) bool {
	d := func(s Span) bool { return s.affects(n, a, b) }
	return slices.ContainsFunc(v.Disturbances, d) || slices.ContainsFunc(v.Stops, d)
}
