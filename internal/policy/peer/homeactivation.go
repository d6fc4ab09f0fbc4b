package peer

import (
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// maxSteps bounds the memberships that a home remembers.
const maxSteps = 64

// A HomeActivation is the state machine by which a home comes to be sure that
// no other daemon runs its keys. It becomes active for a membership once every
// other listed instance of the service has acknowledged it; until then it runs
// only keys that were its own under every membership since it was last active.
//
// An instance acknowledges only a membership that it holds itself, under the
// asker's version or one later in both documents. From then on it runs none of
// the asker's keys: to run them it would have to meet a later membership and
// have the asker's own acknowledgement of that. So of two daemons that are
// active for one key the one has acknowledged the other's membership, or is no
// longer listed. One that is no longer listed learns so by its next exchange
// or is fenced, and the other waits that long.
//
// A HomeActivation is not safe for concurrent use. Requests read its HomeView.
type HomeActivation struct {
	self        lavenderridge.InstanceID
	incarnation lavenderridge.Incarnation
	limits      HomeLimits
	rules       homeRules

	steps        []homeStep
	acknowledged map[lavenderridge.InstanceID]homeAcknowledgement
	heard        lavenderridge.Versions
	started      time.Time
	stable       time.Time // see homeAcknowledgement
	ticked       time.Time
	woken        time.Time
	contact      time.Time
}

// NewHomeActivation returns the machine of the run i of the instance n, which
// starts at t.
func NewHomeActivation(n lavenderridge.InstanceID, i lavenderridge.Incarnation, l HomeLimits, t time.Time) *HomeActivation {
	return &HomeActivation{
		self: n, incarnation: i, limits: l, started: t, stable: t, ticked: t, woken: t,
		acknowledged: make(map[lavenderridge.InstanceID]homeAcknowledgement),
	}
}

// Membership returns the membership in force, or nil before the first.
func (a *HomeActivation) Membership() *HomeMembership {
	if len(a.steps) == 0 {
		return nil
	}
	return a.last().membership
}

func (a *HomeActivation) last() *homeStep {
	return &a.steps[len(a.steps)-1]
}

// Adopt puts the membership m in force at t, unless a later one is. Whatever
// was gathered under an earlier version is dropped. A home that is active stays
// so when the content is the same and no version of the list was skipped: a
// skipped one may have dropped this instance, so that others took over.
func (a *HomeActivation) Adopt(m *HomeMembership, t time.Time) {
	p := a.Membership()
	if p == nil {
		a.enter(m, t)
		return
	}
	if !m.versions.Covers(p.versions) || m.versions == p.versions {
		return
	}
	if p.drops(m) {
		a.stable = t
	}
	if m.versions.InstanceList > p.versions.InstanceList+1 && !a.rules.anySkip {
		a.steps = nil
	}
	if p.digest != m.digest || len(a.steps) == 0 || !a.Active() {
		a.enter(m, t)
		return
	}
	a.last().membership = m
}

// enter begins to gather acknowledgements for m.
func (a *HomeActivation) enter(m *HomeMembership, t time.Time) {
	if !a.rules.keepGathered {
		clear(a.acknowledged)
	}
	if n := len(a.steps); n > 0 && a.last().membership.digest == m.digest {
		a.steps = a.steps[:n-1]
	}
	a.steps = append(a.steps, homeStep{membership: m, since: m.versions})
	a.trim(t)
	a.settle(t)
}

// trim drops steps that no key can depend on any more: those before an
// activation that is older than every key that has not expired.
func (a *HomeActivation) trim(t time.Time) {
	n := max(0, len(a.steps)-maxSteps)
	o := t.Add(-a.limits.KeyLifetime - 2*a.limits.Skew)
	for i := len(a.steps) - 1; i > n; i-- {
		if s := a.steps[i].activated; !s.IsZero() && s.Before(o) {
			n = i
		}
	}
	a.steps = a.steps[n:]
}

// Waiting returns the instances whose acknowledgement is missing.
func (a *HomeActivation) Waiting() []lavenderridge.InstanceID {
	m := a.Membership()
	if m == nil || a.Active() || !m.Lists(a.self) {
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

// Active reports whether every acknowledgement of the membership in force has
// come.
func (a *HomeActivation) Active() bool {
	return len(a.steps) > 0 && !a.last().activated.IsZero()
}

// Request returns the request that asks for an acknowledgement, or nil before
// the first membership. The sender s is that of the message.
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

// Answer returns the reply to q at t, for the message sender s. The daemon
// acknowledges the asker's membership if its own is the same, under versions
// at least as late. The caller must have adopted its latest membership first
// and must put the View in force before it sends the reply, so that whatever
// is decided afterwards is decided under the acknowledged membership.
func (a *HomeActivation) Answer(q *lavenderridge.ActivationRequest, s lavenderridge.Sender, t time.Time) *lavenderridge.ActivationReply {
	a.heard = a.heard.Max(q.Versions)
	a.Tick(t)
	p := &lavenderridge.ActivationReply{
		Sender: s, Versions: q.Versions, Membership: q.Membership,
		Incarnation: q.Sender.Incarnation, Stable: t.Sub(a.stable),
	}
	if m := a.Membership(); m != nil && m.service == q.Service {
		p.Settled = a.settled()
		p.Acknowledged = (a.rules.anyVersion || m.versions.Covers(q.Versions)) &&
			(a.rules.anyMembership || m.digest == q.Membership)
	}
	return p
}

// settled reports whether every acknowledgement of some membership has come
// since the home started or last woke, and it holds the latest versions that it
// heard of. A daemon that is not settled may have started from an old list.
func (a *HomeActivation) settled() bool {
	return a.Membership().versions.Covers(a.heard) &&
		slices.ContainsFunc(a.steps, func(s homeStep) bool { return !s.activated.IsZero() })
}

// Answered takes in the reply p of the instance n, which came at t to a request
// sent at o. It counts as an exchange only if n is listed and settled and the
// request was sent since this process last woke; and as an acknowledgement only
// for this incarnation and for a request sent since the present membership was
// adopted.
func (a *HomeActivation) Answered(n lavenderridge.InstanceID, p *lavenderridge.ActivationReply, o, t time.Time) {
	a.heard = a.heard.Max(p.Sender.Stamps.Versions())
	a.Tick(t)
	m := a.Membership()
	if m == nil || n == a.self || !m.Lists(n) || !o.After(a.woken) && !a.rules.anyRequest {
		return
	}
	if p.Settled && m.versions.Covers(p.Sender.Stamps.Versions()) || a.rules.anyContact {
		a.exchanged(o)
	}
	if p.Acknowledged && a.counts(p) && !a.Active() {
		a.acknowledged[n] = homeAcknowledgement{asked: o, stable: t.Add(-p.Stable), whole: p.Whole}
		a.settle(t)
	}
}

func (a *HomeActivation) exchanged(t time.Time) {
	if t.After(a.contact) {
		a.contact = t
	}
}

func (a *HomeActivation) counts(p *lavenderridge.ActivationReply) bool {
	s := a.last()
	return (a.rules.anyRequest || p.Incarnation == a.incarnation) &&
		(a.rules.anyStep || p.Membership == s.membership.digest && p.Versions.Covers(s.since))
}

// settle activates the membership in force once every acknowledgement has
// come. All other listed instances have answered since the first of these was
// asked for, so that counts as an exchange.
func (a *HomeActivation) settle(t time.Time) {
	m := a.Membership()
	if a.Active() || !m.Lists(a.self) {
		return
	}
	w := len(a.Waiting())
	if a.rules.halfAcknowledgement && 2*w <= len(m.listed)-1 {
		w = 0
	}
	if w > 0 && !a.rules.noAcknowledgement {
		return
	}
	f := t
	for _, k := range a.acknowledged {
		if k.asked.Before(f) {
			f = k.asked
		}
	}
	a.exchanged(f)
	a.last().activated, a.last().memory = a.effective(t)
	a.trim(t)
}

// effective returns when an activation at t takes effect, and since when this
// home then knows of every run of its keys.
//
// An instance that the list has dropped may still run. It is sure to be fenced
// a while after every listed instance has adopted the list that drops it. An
// instance that has just started may not know which ones were dropped.
//
// Runs of listed instances are in the records that came with their
// acknowledgements, unless the instance has lost its memory since. Runs of
// dropped ones may not be.
func (a *HomeActivation) effective(t time.Time) (f, m time.Time) {
	s, w := a.stable, true
	for _, k := range a.acknowledged {
		if k.stable.After(s) {
			s = k.stable
		}
		w = w && k.whole
	}
	f, m = s.Add(a.limits.quiet()), s.Add(a.limits.Fence)
	if a.rules.noWait || f.Before(t) {
		f = t
	}
	if !w && !a.rules.anyRecords || len(a.Membership().listed) < 2 {
		m = f
	}
	return f, m
}

// Tick tells the time. When there was no exchange for too long, as after a
// pause of the process, the platform may have dropped this instance from the
// list and listed it again, while others took over. So the home is active for
// nothing until every listed instance has acknowledged anew, with requests sent
// after t.
func (a *HomeActivation) Tick(t time.Time) {
	f := !a.rules.noFence && a.silent(t)
	a.ticked = t
	if !f {
		return
	}
	a.woken, a.contact = t, time.Time{}
	if a.rules.keepActive {
		return
	}
	clear(a.acknowledged)
	a.steps = []homeStep{{membership: a.Membership(), since: a.Membership().versions}}
	a.settle(t)
}

// silent reports whether the last exchange is too long ago. A service's only
// instance has none to exchange with, and counts its own ticks.
func (a *HomeActivation) silent(t time.Time) bool {
	if m := a.Membership(); m == nil || len(m.listed) < 2 {
		return m != nil && t.Sub(a.ticked) > a.limits.Fence
	}
	return !a.contact.IsZero() && t.Sub(a.contact) > a.limits.Fence
}

// View returns what requests need to know. It never changes once made.
func (a *HomeActivation) View() *HomeView {
	return &HomeView{
		self: a.self, limits: a.limits, rules: a.rules, steps: append([]homeStep(nil), a.steps...),
		heard: a.heard, started: a.started, ticked: a.ticked, contact: a.contact,
	}
}
