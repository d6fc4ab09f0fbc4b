package peer

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A HomeView is the state of a HomeActivation at one moment. Requests reach
// the latest through one atomic pointer; it never changes once made.
type HomeView struct {
	self    lavenderridge.InstanceID
	limits  HomeLimits
	rules   homeRules
	steps   []homeStep
	heard   lavenderridge.Versions
	started time.Time
	ticked  time.Time
	contact time.Time
}

var _ lavenderridge.KeyAuthority = (*HomeView)(nil)

// Membership returns the membership in force, or nil before the first.
func (v *HomeView) Membership() *HomeMembership {
	if len(v.steps) == 0 {
		return nil
	}
	return v.steps[len(v.steps)-1].membership
}

// Active reports whether the home is active at t for the membership in force.
func (v *HomeView) Active(t time.Time) bool {
	return len(v.steps) > 0 && v.steps[len(v.steps)-1].active(t)
}

// Decide implements lavenderridge.KeyAuthority. Only a home that is sure that
// the key has not run answers with the outcome NotRun.
func (v *HomeView) Decide(k lavenderridge.IdempotencyKey, o lavenderridge.Versions, t time.Time) error {
	m := v.Membership()
	if m == nil {
		return v.unknown(lavenderridge.ReasonNotActive, "no configuration in force yet")
	}
	if !v.rules.noCatchUp && (!m.versions.Covers(o) || !m.versions.Covers(v.heard)) {
		return v.unknown(lavenderridge.ReasonNotActive, "a later version is known and not yet in force")
	}
	if m.Home(k) != v.self {
		return v.unknown(lavenderridge.ReasonNotHome, "another instance is the home of the key")
	}
	if v.Fenced(t) {
		return v.unknown(lavenderridge.ReasonNotActive, "no recent exchange with another instance of the service")
	}
	return v.decideKey(k, t)
}

func (v *HomeView) decideKey(k lavenderridge.IdempotencyKey, t time.Time) error {
	i, o := k.Issued()
	if o && t.Sub(i) > v.limits.KeyLifetime && !v.rules.noExpiry {
		return v.refuse(lavenderridge.OutcomeUnknown, lavenderridge.ReasonKeyExpired, "the key is older than its lifetime")
	}
	s, a := v.heldSince(k, t)
	if !a {
		return v.unknown(lavenderridge.ReasonNotActive, "not every instance of the service has acknowledged the membership")
	}
	if !v.remembers(i, o, s, t) {
		return v.refuse(lavenderridge.OutcomeUnknown, lavenderridge.ReasonLostMemory, "the key may have run before this home was active for it")
	}
	if o && i.Sub(t) > v.limits.Skew {
		return v.refuse(lavenderridge.OutcomeNotRun, lavenderridge.ReasonBadKey, "the key's time of issue is in the future")
	}
	return nil
}

// Fenced reports whether the home must not run new keys at t, because it had
// no exchange with another listed instance of its service for too long.
func (v *HomeView) Fenced(t time.Time) bool {
	m := v.Membership()
	if v.rules.noFence || m == nil {
		return false
	}
	if len(m.listed) < 2 {
		return t.Sub(v.ticked) > v.limits.Fence
	}
	return t.Sub(v.contact) > v.limits.Fence
}

// heldSince walks back through the memberships for as long as the key belongs
// to this home. It returns the time since which the home knows of the key's
// runs, and whether it was active for the key on the way.
func (v *HomeView) heldSince(k lavenderridge.IdempotencyKey, t time.Time) (time.Time, bool) {
	var s time.Time
	var a bool
	for i := len(v.steps) - 1; i >= 0; i-- {
		p := &v.steps[i]
		if v.rules.endsOnly && i < len(v.steps)-1 && !p.active(t) {
			continue
		}
		if p.membership.Home(k) != v.self {
			break
		}
		if p.active(t) && (!a || p.memory.Before(s)) {
			s, a = p.memory, true
		}
	}
	if !a && v.rules.noProof {
		return v.started, true
	}
	return s, a
}

// remembers reports whether the ledger would hold the key, issued at i, if it
// had run. The home has held the key since s. A key without a time of issue
// counts as issued one lifetime ago.
func (v *HomeView) remembers(i time.Time, o bool, s, t time.Time) bool {
	if !o {
		if v.rules.noIssueTime {
			return true
		}
		i = t.Add(-v.limits.KeyLifetime)
	}
	if v.rules.startOnly {
		s = v.started
	}
	d := v.limits.Skew
	if v.rules.noSkew {
		d = 0
	}
	return v.rules.noMemory || !i.Before(s.Add(d))
}

// unknown returns a refusal that passes by itself.
func (v *HomeView) unknown(r lavenderridge.Reason, d string) error {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, r, d)
	f.Place, f.RetryAfter = v.self, v.limits.RetryAfter
	return f
}

func (v *HomeView) refuse(o lavenderridge.Outcome, r lavenderridge.Reason, d string) error {
	f := lavenderridge.NewRefusal(o, r, d)
	f.Place = v.self
	return f
}
