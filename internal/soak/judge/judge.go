package judge

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// drainBound is the time after which a data centre that was taken out of
	// service must receive no new requests (docs/PROOFS.md).
	drainBound = 5 * time.Second
	// activationBound is the time after which a published version must be in force
	// at every daemon (docs/PROOFS.md).
	activationBound = 6 * time.Second
	// recoveryPeriod is the time without faults after which a daemon must keep the
	// bounds again. It is longer than the detection of a half-open connection.
	recoveryPeriod = 3 * time.Second
	// minAnsweredShare is the share of requests that must be answered after the
	// last fault.
	minAnsweredShare = 0.95
)

// Judge returns the violations of the guarantees in v.
func Judge(v *History) lavenderridge.Findings {
	var f lavenderridge.Findings
	v.checkDuplicateRuns(&f)
	v.checkRefusals(&f)
	v.checkBrokenConnections(&f)
	v.checkVersionRollbacks(&f)
	v.checkActivation(&f)
	v.checkOutOfService(&f)
	v.checkLimits(&f)
	v.checkCustomers(&f)
	v.checkRemovedKeys(&f)
	for _, n := range slices.Sorted(keys(v.PeakInFlight)) {
		if v.PeakInFlight[n] > v.Slots {
			f.Add(string(n), "%d requests ran concurrently; the limit is %d slots", v.PeakInFlight[n], v.Slots)
		}
	}
	for _, n := range v.Outdated {
		f.Add(string(n), "does not have the latest catalogue, version %d", v.Latest)
	}
	if float64(v.Answered) < minAnsweredShare*float64(v.Probes) {
		f.Add("after the last fault", "%d of %d requests were answered", v.Answered, v.Probes)
	}
	for _, s := range v.ExitErrors {
		f.Add("process", "%s", s)
	}
	return f
}

func keys[K comparable, V any](m map[K]V) func(func(K) bool) {
	return func(y func(K) bool) {
		for k := range m {
			if !y(k) {
				return
			}
		}
	}
}

// operationID identifies an operation that must not run twice: by the
// idempotency key k, or by the ID of the request if it has no key.
func operationID(k lavenderridge.IdempotencyKey, d lavenderridge.RequestID) string {
	if k != "" {
		return "key " + string(k)
	}
	return "request " + string(d)
}

func (v *History) runsByOperation() map[string][]Run {
	m := map[string][]Run{}
	for _, r := range v.Runs {
		n := operationID(r.Key, r.Request)
		m[n] = append(m[n], r)
	}
	return m
}

// checkDuplicateRuns reports operations that are not idempotent and ran more
// than once.
func (v *History) checkDuplicateRuns(f *lavenderridge.Findings) {
	m := v.runsByOperation()
	k := map[string]bool{}
	for _, s := range v.Sends {
		n := operationID(s.Key, s.ID)
		if s.Idempotent || k[n] {
			continue
		}
		k[n] = true
		if a := m[n]; len(a) > 1 {
			f.Add(n, "ran %d times: at %s and %s", len(a), a[0].Instance, a[1].Instance)
		}
	}
}

// checkRefusals reports operations that ran although every one of their requests
// was refused as not run or was not sent.
func (v *History) checkRefusals(f *lavenderridge.Findings) {
	m := v.runsByOperation()
	o := map[string]bool{}
	var a []string
	for _, s := range v.Sends {
		n := operationID(s.Key, s.ID)
		if _, k := o[n]; !k {
			o[n] = true
			a = append(a, n)
		}
		o[n] = o[n] && (s.Result == NotRun || s.Result == Unsent)
	}
	for _, n := range a {
		if r := m[n]; o[n] && len(r) > 0 {
			f.Add(n, "was refused as not run, but ran at %s", r[0].Instance)
		}
	}
}

// checkBrokenConnections reports requests that ran and whose connection to the
// daemon broke although no fault other than a planned shutdown was injected there.
func (v *History) checkBrokenConnections(f *lavenderridge.Findings) {
	m := map[lavenderridge.RequestID]bool{}
	for _, r := range v.Runs {
		m[r.Request] = true
	}
	for _, s := range v.Sends {
		if s.Result != Broken || !m[s.ID] {
			continue
		}
		if !slices.ContainsFunc(v.Disturbances, func(d Span) bool {
			return d.Instance == s.Daemon && d.affects(s.Daemon, s.Begun, s.Ended)
		}) {
			f.Add(operationID(s.Key, s.ID), "the connection to %s broke after %s without a fault other than a planned shutdown", s.Daemon, s.Ended.Sub(s.Begun).Round(time.Millisecond))
		}
	}
}

// checkVersionRollbacks reports daemons that went back to an older version within
// one incarnation.
func (v *History) checkVersionRollbacks(f *lavenderridge.Findings) {
	type daemonRun struct {
		n lavenderridge.InstanceID
		i lavenderridge.Incarnation
	}
	m := map[daemonRun]lavenderridge.Versions{}
	for _, s := range v.VersionSamples {
		k := daemonRun{s.Instance, s.Incarnation}
		if o := m[k]; s.Versions.Catalogue < o.Catalogue || s.Versions.InstanceList < o.InstanceList {
			f.Add(string(s.Instance), "went back from versions %s to %s", formatVersions(o), formatVersions(s.Versions))
		}
		m[k] = s.Versions
	}
}

func formatVersions(v lavenderridge.Versions) string {
	return fmt.Sprintf("%d and %d", v.Catalogue, v.InstanceList)
}

// checkActivation reports daemons at which a version of the catalogue, or a newer one,
// was not in force activationBound after its publication. It omits samples of daemons
// with a fault or a stop since then or in the recoveryPeriod before. It reports each
// daemon once for a version.
func (v *History) checkActivation(f *lavenderridge.Findings) {
	type activation struct {
		n lavenderridge.InstanceID
		v lavenderridge.Version
	}
	m := map[activation]bool{}
	for _, s := range v.VersionSamples {
		p := v.requiredAt(s.Time)
		k := activation{s.Instance, p.Version}
		if s.Versions.Catalogue >= p.Version || m[k] {
			continue
		}
		b := p.Time.Add(-recoveryPeriod)
		d := func(d Span) bool { return d.affects(s.Instance, b, s.Time) }
		if slices.ContainsFunc(v.Disturbances, d) || slices.ContainsFunc(v.Stops, d) {
			continue
		}
		m[k] = true
		f.Add(string(s.Instance), "had catalogue %d in force %s after the publication of %d", s.Versions.Catalogue, s.Time.Sub(p.Time).Round(time.Millisecond), p.Version)
	}
}

// requiredAt returns the last publication that must be in force everywhere at the
// time t, or an empty one.
func (v *History) requiredAt(t time.Time) Publication {
	var r Publication
	for _, p := range v.Publications {
		if t.Sub(p.Time) > activationBound {
			r = p
		}
	}
	return r
}

// checkOutOfService reports requests that began in a data centre more than
// drainBound after it was taken out of service. It omits instances with a fault in
// that period or in the recoveryPeriod before it.
func (v *History) checkOutOfService(f *lavenderridge.Findings) {
	for _, r := range v.Runs {
		for _, a := range v.OutOfServicePeriods {
			b := a.From.Add(drainBound)
			if r.DataCentre != a.DataCentre || r.Begun.Before(b) || r.Begun.After(a.To) {
				continue
			}
			if slices.ContainsFunc(v.Disturbances, func(d Span) bool { return d.affects(r.Instance, a.From.Add(-recoveryPeriod), r.Begun) }) {
				continue
			}
			f.Add(operationID(r.Key, r.Request), "ran at %s %s after %s was taken out of service", r.Instance, r.Begun.Sub(a.From).Round(time.Millisecond), a.DataCentre)
		}
	}
}
