package judge

import (
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// checkCustomers reports requests that ran for another customer than that which held the
// key, whose key was shown to the backend server, or which were refused although the key
// was valid until their end.
func (v *History) checkCustomers(f *lavenderridge.Findings) {
	m := map[lavenderridge.RequestID]*Send{}
	for i := range v.Sends {
		m[v.Sends[i].ID] = &v.Sends[i]
	}
	for _, r := range v.Runs {
		if s := m[r.Request]; s != nil && s.Customer != r.Customer {
			f.Add(operationID(r.Key, r.Request), "ran for the customer %q; the key was that of %q", r.Customer, s.Customer)
		}
		if r.KeyShown {
			f.Add(operationID(r.Key, r.Request), "its customer's key was shown to the backend server of %s", r.Instance)
		}
	}
	for _, s := range v.Sends {
		if t, o := v.removedAt(s.CustomerKey); s.Unauthenticated && (!o || s.Ended.Before(t)) {
			f.Add(operationID(s.Key, s.ID), "was refused at %s for a key that was valid", s.Daemon)
		}
	}
}

// checkRemovedKeys reports requests that ran although they were sent activationBound after
// their key had been taken away. It omits daemons with a fault or a stop since then or in
// the recoveryPeriod before.
func (v *History) checkRemovedKeys(f *lavenderridge.Findings) {
	if len(v.KeyRemovals) == 0 {
		return
	}
	m := map[lavenderridge.RequestID]bool{}
	for _, r := range v.Runs {
		m[r.Request] = true
	}
	for _, s := range v.Sends {
		t, o := v.removedAt(s.CustomerKey)
		if !o || !m[s.ID] || s.Begun.Sub(t) <= activationBound {
			continue
		}
		b := t.Add(-recoveryPeriod)
		d := func(d Span) bool { return d.affects(s.Daemon, b, s.Begun) }
		if slices.ContainsFunc(v.Disturbances, d) || slices.ContainsFunc(v.Stops, d) {
			continue
		}
		f.Add(operationID(s.Key, s.ID), "ran through %s %s after its customer's key had been taken away", s.Daemon, s.Begun.Sub(t).Round(time.Millisecond))
	}
}

// removedAt returns when the key k was taken away. It reports false if it never was.
func (v *History) removedAt(k string) (time.Time, bool) {
	for _, r := range v.KeyRemovals {
		if r.Key == k {
			return r.Time, true
		}
	}
	return time.Time{}, false
}
