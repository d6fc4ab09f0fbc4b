package peer

import (
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// maxPeriods is the largest number of membership periods that a home keeps.
const maxPeriods = 64

// A HomeActivation is the state machine that ensures that a home is the only
// daemon that runs its keys. The home becomes active for a membership once every
// other listed instance of the service has acknowledged the membership. Until
// then it runs only keys that it owned under every membership since it was last
// active.
//
// An instance acknowledges a membership only if its own has the same content and
// versions that are at least as late in both documents. From then on it runs none
// of the requester's keys: to run them it would have to adopt a later membership
// and be sent the requester's acknowledgement of that one. So if two daemons are
// active for one key, either one has acknowledged the other's membership and no
// longer runs the key, or one is no longer listed. The latter learns this from
// its next exchange or is fenced, and the other waits for that long
// (HomeLimits.takeoverDelay).
//
// A HomeActivation is not safe for concurrent use. Requests use its HomeView.
type HomeActivation struct {
	self        lavenderridge.InstanceID
	incarnation lavenderridge.Incarnation
	limits      HomeLimits
	rules       homeRules

	periods      []membershipPeriod
	acknowledged map[lavenderridge.InstanceID]homeAcknowledgement
	// latestSeen are the latest versions that a message contained.
	latestSeen  lavenderridge.Versions
	startedAt   time.Time
	stableSince time.Time // as in homeAcknowledgement
	// lastTick, resetAt and lastExchange are the times of the last Tick, of the
	// last reset by Tick, and of the request that began the last exchange.
	lastTick     time.Time
	resetAt      time.Time
	lastExchange time.Time
}

// NewHomeActivation returns the state machine of the instance n with the
// incarnation i, which starts at t.
func NewHomeActivation(n lavenderridge.InstanceID, i lavenderridge.Incarnation, l HomeLimits, t time.Time) *HomeActivation {
	return &HomeActivation{
		self: n, incarnation: i, limits: l, startedAt: t, stableSince: t, lastTick: t, resetAt: t,
		acknowledged: make(map[lavenderridge.InstanceID]homeAcknowledgement),
	}
}

// Membership returns the adopted membership, or nil if there is none yet.
func (a *HomeActivation) Membership() *HomeMembership {
	if len(a.periods) == 0 {
		return nil
	}
	return a.last().membership
}

func (a *HomeActivation) last() *membershipPeriod {
	return &a.periods[len(a.periods)-1]
}

// Adopt replaces the membership by m at t if the versions of m are later. If m
// needs a new activation, the acknowledgements are dropped. An active home stays
// active if the content is the same and no version of the list was skipped: a
// skipped one may have dropped this instance, so that others have taken over its
// keys.
func (a *HomeActivation) Adopt(m *HomeMembership, t time.Time) {
	p := a.Membership()
	if p == nil {
		a.startGathering(m, t)
		return
	}
	if !m.versions.Covers(p.versions) || m.versions == p.versions {
		return
	}
	if p.drops(m) {
		a.stableSince = t
	}
	if m.versions.InstanceList > p.versions.InstanceList+1 && !a.rules.allowSkippedVersions {
		a.periods = nil
	}
	if p.digest != m.digest || len(a.periods) == 0 || !a.Active() {
		a.startGathering(m, t)
		return
	}
	a.last().membership = m
}

// startGathering appends a period with the membership m, for which
// acknowledgements are yet to be gathered.
func (a *HomeActivation) startGathering(m *HomeMembership, t time.Time) {
	if !a.rules.keepAcknowledgements {
		clear(a.acknowledged)
	}
	if n := len(a.periods); n > 0 && a.last().membership.digest == m.digest {
		a.periods = a.periods[:n-1]
	}
	a.periods = append(a.periods, membershipPeriod{membership: m, firstVersions: m.versions})
	a.trim(t)
	a.activateIfComplete(t)
}

// trim removes periods that no decision depends on any more: those before an
// activation that took effect before the issue of every unexpired key.
func (a *HomeActivation) trim(t time.Time) {
	n := max(0, len(a.periods)-maxPeriods)
	o := t.Add(-a.limits.KeyLifetime - 2*a.limits.Skew)
	for i := len(a.periods) - 1; i > n; i-- {
		if s := a.periods[i].activeFrom; !s.IsZero() && s.Before(o) {
			n = i
		}
	}
	a.periods = a.periods[n:]
}

// Waiting returns the instances whose acknowledgement is missing.
func (a *HomeActivation) Waiting() []lavenderridge.InstanceID {
	m := a.Membership()
	if m == nil || a.Active() || !m.Contains(a.self) {
		return nil
	}
	var w []lavenderridge.InstanceID
	for _, n := range m.listed {
		if _, o := a.acknowledged[n]; !o && n != a.self {
			w = append(w, n)
		}
	}
	return w
}

// Active reports whether every instance has acknowledged the adopted membership.
// The activation may take effect later.
func (a *HomeActivation) Active() bool {
	return len(a.periods) > 0 && !a.last().activeFrom.IsZero()
}

// Request returns a request for an acknowledgement, or nil if no membership was
// adopted yet. The message's sender is s with the incarnation of this
// HomeActivation.
func (a *HomeActivation) Request(s lavenderridge.Sender) *lavenderridge.ActivationRequest {
	m := a.Membership()
	if m == nil {
		return nil
	}
	s.Incarnation = a.incarnation
	return &lavenderridge.ActivationRequest{
		Sender: s, Service: m.service, Versions: m.versions, Membership: m.digest,
		Gathering: !a.Active(),
	}
}

// Reply returns the reply of the sender s to the request q at t. It acknowledges
// the requester's membership if its own has the same content under versions at
// least as late. The caller must first adopt its latest membership, and must
// publish the View before it sends the reply, so that every later decision is made
// under the acknowledged membership.
func (a *HomeActivation) Reply(q *lavenderridge.ActivationRequest, s lavenderridge.Sender, t time.Time) *lavenderridge.ActivationReply {
	a.latestSeen = a.latestSeen.Max(q.Versions)
	a.Tick(t)
	p := &lavenderridge.ActivationReply{
		Sender: s, Versions: q.Versions, Membership: q.Membership,
		Incarnation: q.Sender.Incarnation, Stable: t.Sub(a.stableSince),
	}
	if m := a.Membership(); m != nil && m.service == q.Service {
		p.Settled = a.settled()
		p.Acknowledged = (a.rules.acknowledgeAnyVersion || m.versions.Covers(q.Versions)) &&
			(a.rules.acknowledgeAnyMembership || m.digest == q.Membership)
	}
	return p
}

// settled reports whether an activation completed in one of the kept periods, and
// the adopted versions are the latest that the home has seen in a message. A
// daemon that is not settled may have started from an old list.
func (a *HomeActivation) settled() bool {
	return a.Membership().versions.Covers(a.latestSeen) &&
		slices.ContainsFunc(a.periods, func(s membershipPeriod) bool { return !s.activeFrom.IsZero() })
}

// ReplyReceived records the reply p of the instance n, which arrived at t for a
// request sent at o. It counts only if n is listed and the request was sent after
// the last reset by Tick: as an exchange if n is settled and its versions are not
// later than the adopted ones, and as an acknowledgement if it is for this
// incarnation and for a request sent since the present membership was adopted.
func (a *HomeActivation) ReplyReceived(n lavenderridge.InstanceID, p *lavenderridge.ActivationReply, o, t time.Time) {
	a.latestSeen = a.latestSeen.Max(p.Sender.Stamps.Versions())
	a.Tick(t)
	m := a.Membership()
	if m == nil || n == a.self || !m.Contains(n) || !o.After(a.resetAt) && !a.rules.acceptStaleReplies {
		return
	}
	if p.Settled && m.versions.Covers(p.Sender.Stamps.Versions()) || a.rules.countUnsettledExchanges {
		a.recordExchange(o)
	}
	if p.Acknowledged && a.matches(p) && !a.Active() {
		a.acknowledged[n] = homeAcknowledgement{requestedAt: o, stableSince: t.Add(-p.Stable), complete: p.Whole}
		a.activateIfComplete(t)
	}
}

func (a *HomeActivation) recordExchange(t time.Time) {
	if t.After(a.lastExchange) {
		a.lastExchange = t
	}
}

// matches reports whether the reply p is for this incarnation and for the
// membership that is being activated.
func (a *HomeActivation) matches(p *lavenderridge.ActivationReply) bool {
	s := a.last()
	return (a.rules.acceptStaleReplies || p.Incarnation == a.incarnation) &&
		(a.rules.acceptEarlierMembership || p.Membership == s.membership.digest && p.Versions.Covers(s.firstVersions))
}

// activateIfComplete activates the adopted membership once every acknowledgement
// has arrived. All other listed instances have replied since the earliest of the
// acknowledged requests was sent, so its time counts as that of an exchange.
func (a *HomeActivation) activateIfComplete(t time.Time) {
	m := a.Membership()
	if a.Active() || !m.Contains(a.self) {
		return
	}
	w := len(a.Waiting())
	if a.rules.activateWithHalf && 2*w <= len(m.listed)-1 {
		w = 0
	}
	if w > 0 && !a.rules.activateWithoutAcknowledgements {
		return
	}
	f := t
	for _, k := range a.acknowledged {
		if k.requestedAt.Before(f) {
			f = k.requestedAt
		}
	}
	a.recordExchange(f)
	a.last().activeFrom, a.last().runsKnownSince = a.effectiveTimes(t)
	a.trim(t)
}

// effectiveTimes returns the time f from which an activation completed at t is
// in effect, and the time m since which this home then knows of every run of its
// keys.
//
// An instance that was dropped from the list may still run. It is fenced at the
// latest takeoverDelay after every listed instance has adopted the list that
// drops it. An instance that has just started may not know which instances were
// dropped, so its start counts as such an adoption.
//
// Runs of listed instances are in the records that came with their
// acknowledgements, unless the instance has lost them by a restart. Runs of
// dropped instances may be missing.
func (a *HomeActivation) effectiveTimes(t time.Time) (f, m time.Time) {
	s, w := a.stableSince, true
	for _, k := range a.acknowledged {
		if k.stableSince.After(s) {
			s = k.stableSince
		}
		w = w && k.complete
	}
	f, m = s.Add(a.limits.takeoverDelay()), s.Add(a.limits.Fence)
	if a.rules.noTakeoverDelay || f.Before(t) {
		f = t
	}
	if !w && !a.rules.acceptIncompleteRecords || len(a.Membership().listed) < 2 {
		m = f
	}
	return f, m
}

// Tick sets the present time to t. If the last exchange is too long ago, as after
// a pause of the process, this instance may meanwhile have been dropped from the
// list and listed again, while others took over its keys. The home is then
// reset: it is active for no key until every listed instance has acknowledged
// again, in reply to requests sent after t.
func (a *HomeActivation) Tick(t time.Time) {
	f := !a.rules.noFence && a.exchangeOverdue(t)
	a.lastTick = t
	if !f {
		return
	}
	a.resetAt, a.lastExchange = t, time.Time{}
	if a.rules.noReset {
		return
	}
	clear(a.acknowledged)
	a.periods = []membershipPeriod{{membership: a.Membership(), firstVersions: a.Membership().versions}}
	a.activateIfComplete(t)
}

// exchangeOverdue reports whether the last exchange is more than Fence ago. The
// only instance of a service has no partner for an exchange, so its last Tick
// counts instead.
func (a *HomeActivation) exchangeOverdue(t time.Time) bool {
	if m := a.Membership(); m == nil || len(m.listed) < 2 {
		return m != nil && t.Sub(a.lastTick) > a.limits.Fence
	}
	return !a.lastExchange.IsZero() && t.Sub(a.lastExchange) > a.limits.Fence
}

// View returns an immutable copy of the state that requests need.
func (a *HomeActivation) View() *HomeView {
	return &HomeView{
		self: a.self, limits: a.limits, rules: a.rules, periods: append([]membershipPeriod(nil), a.periods...),
		latestSeen: a.latestSeen, startedAt: a.startedAt, lastTick: a.lastTick, lastExchange: a.lastExchange,
	}
}
