package peer

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A HomeView is the immutable state of a HomeActivation at one moment. Requests
// load the latest one through an atomic pointer.
type HomeView struct {
	self         lavenderridge.InstanceID
	limits       HomeLimits
	rules        homeRules
	periods      []membershipPeriod
	latestSeen   lavenderridge.Versions
	startedAt    time.Time
	lastTick     time.Time
	lastExchange time.Time
}

var _ lavenderridge.KeyAuthority = (*HomeView)(nil)

// Membership returns the adopted membership, or nil if there is none yet.
func (v *HomeView) Membership() *HomeMembership {
	if len(v.periods) == 0 {
		return nil
	}
	return v.periods[len(v.periods)-1].membership
}

// Active reports whether the home is active at t for the adopted membership.
func (v *HomeView) Active(t time.Time) bool {
	return len(v.periods) > 0 && v.periods[len(v.periods)-1].active(t)
}

// Decide implements lavenderridge.KeyAuthority. It returns the outcome NotRun
// only for a key that is known not to have run.
func (v *HomeView) Decide(k lavenderridge.IdempotencyKey, o lavenderridge.Versions, t time.Time) error {
	m := v.Membership()
	if m == nil {
		return v.temporaryRefusal(lavenderridge.ReasonNotActive, "no configuration accepted yet")
	}
	if !v.rules.noCatchUp && (!m.versions.Covers(o) || !m.versions.Covers(v.latestSeen)) {
		return v.temporaryRefusal(lavenderridge.ReasonNotActive, "a later configuration version is known but not accepted yet")
	}
	if m.Home(k) != v.self {
		return v.temporaryRefusal(lavenderridge.ReasonNotHome, "another instance is the home of the key")
	}
	if v.Fenced(t) {
		return v.temporaryRefusal(lavenderridge.ReasonNotActive, "no recent exchange with another instance of the service")
	}
	return v.decideKey(k, t)
}

// decideKey checks the lifetime of the key k, the home's activation for it and
// whether the ledger would contain an earlier run.
func (v *HomeView) decideKey(k lavenderridge.IdempotencyKey, t time.Time) error {
	i, o := k.Issued()
	if o && t.Sub(i) > v.limits.KeyLifetime && !v.rules.noExpiry {
		return v.refusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonKeyExpired, "the key is older than its lifetime")
	}
	s, a := v.runsKnownSince(k, t)
	if !a {
		return v.temporaryRefusal(lavenderridge.ReasonNotActive, "not every instance of the service has acknowledged the membership")
	}
	if !v.ledgerCovers(i, o, s, t) {
		return v.refusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonLostMemory, "the key may have run before this home was active for it")
	}
	if o && i.Sub(t) > v.limits.Skew {
		return v.refusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonBadKey, "the key's time of issue is in the future")
	}
	return nil
}

// Fenced reports whether the home must not run new keys at t, because its last
// exchange with another listed instance of its service is too long ago.
func (v *HomeView) Fenced(t time.Time) bool {
	m := v.Membership()
	if v.rules.noFence || m == nil {
		return false
	}
	if len(m.listed) < 2 {
		return t.Sub(v.lastTick) > v.limits.Fence
	}
	return t.Sub(v.lastExchange) > v.limits.Fence
}

// runsKnownSince goes back through the memberships for as long as this home owns
// the key k. It returns the time since which the home knows of every run of the
// key, and whether it was active in one of these periods.
func (v *HomeView) runsKnownSince(k lavenderridge.IdempotencyKey, t time.Time) (time.Time, bool) {
	var s time.Time
	var a bool
	for i := len(v.periods) - 1; i >= 0; i-- {
		p := &v.periods[i]
		if v.rules.skipIntermediateMemberships && i < len(v.periods)-1 && !p.active(t) {
			continue
		}
		if p.membership.Home(k) != v.self {
			break
		}
		if p.active(t) && (!a || p.runsKnownSince.Before(s)) {
			s, a = p.runsKnownSince, true
		}
	}
	if !a && v.rules.runWithoutActivation {
		return v.startedAt, true
	}
	return s, a
}

// ledgerCovers reports whether the ledger would contain the key if it had run.
// The key was issued at i, and the home knows of its runs since s. If o is
// false, the key holds no time of issue and is treated as issued one KeyLifetime
// ago.
func (v *HomeView) ledgerCovers(i time.Time, o bool, s, t time.Time) bool {
	if !o {
		if v.rules.noIssueTime {
			return true
		}
		i = t.Add(-v.limits.KeyLifetime)
	}
	if v.rules.runsKnownSinceStart {
		s = v.startedAt
	}
	d := v.limits.Skew
	if v.rules.noSkew {
		d = 0
	}
	return v.rules.noLedgerCheck || !i.Before(s.Add(d))
}

// temporaryRefusal returns a refusal with the outcome Unknown and the advice to
// retry, for a state that ends without the caller's doing.
func (v *HomeView) temporaryRefusal(r lavenderridge.Reason, d string) error {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, r, d)
	f.Place, f.RetryAfter = v.self, v.limits.RetryAfter
	return f
}

func (v *HomeView) refusal(o lavenderridge.Outcome, r lavenderridge.Reason, d string) error {
	f := lavenderridge.NewRefusal(o, r, d)
	f.Place = v.self
	return f
}
