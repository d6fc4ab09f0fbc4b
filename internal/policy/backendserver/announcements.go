package backendserver

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// changeRecordPeriod is the shortest time between two records of a changed limit, so
// that a backend server can't fill the log.
const changeRecordPeriod = time.Second

// EventLeaving is the event of a backend server that says for the first time that it is
// leaving.
const EventLeaving = "BackendLeaving"

// Announcements holds what the current run of a backend server has said about itself
// in its responses. A limit is in force until a response doesn't name it any more; a
// run that is leaving doesn't come back.
type Announcements struct {
	start time.Time
	state atomic.Pointer[announced]
}

// announced is what one run has said. Only its atomics change.
type announced struct {
	notice lavenderridge.HeardNotice
	// since is when the limit was named first.
	since time.Duration
	// recordedAt is when a change of the limit was recorded last.
	recordedAt time.Duration
	// told is true if another daemon reported the notice, and the backend server has
	// said nothing to this one yet.
	told bool
	// rate spaces the requests while the limit is in force and for a short time after
	// that; it is nil if no limit was named.
	rate *RequestRate
	// heardAt is when the notice was heard last.
	heardAt atomic.Int64
	// sent counts the requests that were sent since the limit was named first.
	sent *atomic.Int64
}

// NewAnnouncements returns announcements of a backend server that has said nothing
// until t.
func NewAnnouncements(t time.Time) *Announcements {
	return &Announcements{start: t}
}

// Heard records the notice n in a response of the run b at the time t. It returns the
// event and the reason of the decision to record, or empty texts if there is none.
func (a *Announcements) Heard(b lavenderridge.BackendID, n lavenderridge.Notice, t time.Time) (k, d string) {
	u := t.Sub(a.start)
	for {
		p := a.state.Load()
		if p.confirmedBy(b, n) {
			p.heardAt.Store(int64(u))
			return "", ""
		}
		v := p.next(b, n, u)
		if a.state.CompareAndSwap(p, v) {
			return p.describeChange(v, u)
		}
	}
}

// HeardHealth records the notice n in the response of the run b to a health check at t,
// where r is true if a run has ended since the last notice and the response says that
// the backend server is ready. Health checks may be answered by something that knows no
// limit, so one that names none doesn't end it.
func (a *Announcements) HeardHealth(b lavenderridge.BackendID, n lavenderridge.Notice, r bool, t time.Time) (k, d string) {
	p := a.current(b)
	if p != nil && p.notice.Leaving && r && !n.Leaving {
		v := p.next(b, lavenderridge.Notice{Limited: n.Limited, Limit: n.Limit}, t.Sub(a.start))
		v.notice.Leaving = false
		if a.state.CompareAndSwap(p, v) {
			return "BackendReturned", "the run that was leaving has ended, and another one is ready under the same identity"
		}
		return "", ""
	}
	if !n.Limited && !n.Leaving {
		return "", ""
	}
	if p != nil && !n.Limited {
		n.Limited, n.Limit, n.Invalid = p.notice.Limited, p.notice.Limit, p.notice.Invalid
	}
	return a.Heard(b, n, t)
}

// Told records the notice n that another daemon reports at t. What the backend server
// has said to this daemon, and a later report, holds instead. The results are those of
// Heard.
func (a *Announcements) Told(n lavenderridge.HeardNotice, t time.Time) (k, d string) {
	u := t.Sub(a.start)
	for {
		p := a.state.Load()
		if p.outranks(&n, u) {
			return "", ""
		}
		v := p.next(n.Backend, n.Notice, u)
		v.told, v.notice.Place = true, n.Place
		v.heardAt.Store(int64(u - n.Age))
		if a.state.CompareAndSwap(p, v) {
			return p.describeChange(v, u)
		}
	}
}

// outranks reports whether the state p, which may be nil, holds rather than the notice n
// that another daemon reports at u.
func (p *announced) outranks(n *lavenderridge.HeardNotice, u time.Duration) bool {
	return p != nil && p.notice.Backend == n.Backend && (!p.told || time.Duration(p.heardAt.Load()) >= u-n.Age)
}

// Wait returns how long a request of the class k for the run b has to wait at t because
// of the limit in force, or zero if it may be sent.
func (a *Announcements) Wait(b lavenderridge.BackendID, k lavenderridge.Class, t time.Time) time.Duration {
	if p := a.current(b); p != nil {
		return p.rate.Wait(k, t.Sub(a.start))
	}
	return 0
}

// Take counts a request of the class k that is sent to the run b at t and returns zero.
// If it may not be sent yet, Take returns the wait.
func (a *Announcements) Take(b lavenderridge.BackendID, k lavenderridge.Class, t time.Time) time.Duration {
	p := a.current(b)
	if p == nil {
		return 0
	}
	w := p.rate.Take(k, t.Sub(a.start))
	if w == 0 {
		p.sent.Add(1)
	}
	return w
}

// Limited reports whether the run that was heard last has named a limit that is in
// force. It is a quick check for the path of a request.
func (a *Announcements) Limited() bool {
	p := a.state.Load()
	return p != nil && p.notice.Limited
}

// Leaving reports whether the run b has said that it is leaving.
func (a *Announcements) Leaving(b lavenderridge.BackendID) bool {
	p := a.current(b)
	return p != nil && p.notice.Leaving
}

// current returns the state of the run b, or nil if it has said nothing.
func (a *Announcements) current(b lavenderridge.BackendID) *announced {
	if p := a.state.Load(); p != nil && p.notice.Backend == b {
		return p
	}
	return nil
}

// Notice returns the notice in force of the run b at the time t.
func (a *Announcements) Notice(b lavenderridge.BackendID, t time.Time) lavenderridge.HeardNotice {
	p := a.current(b)
	if p == nil {
		return lavenderridge.HeardNotice{Backend: b}
	}
	n := p.notice
	n.Age += t.Sub(a.start) - time.Duration(p.heardAt.Load())
	return n
}

// confirmedBy reports whether the notice n of the run b changes nothing. The state p
// may be nil.
func (p *announced) confirmedBy(b lavenderridge.BackendID, n lavenderridge.Notice) bool {
	if p == nil || p.told || p.notice.Backend != b || n.Leaving && !p.notice.Leaving {
		return false
	}
	if n.Invalid {
		return p.notice.Invalid
	}
	return !p.notice.Invalid && n.Limited == p.notice.Limited && n.Limit == p.notice.Limit
}

// next returns the state after the notice n of the run b at the time u. An invalid
// limit leaves the one in force as it is.
func (p *announced) next(b lavenderridge.BackendID, n lavenderridge.Notice, u time.Duration) *announced {
	v := &announced{notice: lavenderridge.HeardNotice{Notice: n, Backend: b}, since: u, sent: &atomic.Int64{}}
	v.heardAt.Store(int64(u))
	if p == nil || p.notice.Backend != b {
		if n.Limited {
			v.rate = newRequestRate(n.Limit, 0, u)
		}
		return v
	}
	v.recordedAt = p.recordedAt
	v.notice.Leaving = n.Leaving || p.notice.Leaving
	if n.Invalid {
		v.notice.Limited, v.notice.Limit = p.notice.Limited, p.notice.Limit
		v.heardAt.Store(p.heardAt.Load())
	}
	if v.notice.Limited && p.notice.Limited {
		v.since, v.sent = p.since, p.sent
	}
	if v.notice.Limit != p.notice.Limit && u-p.recordedAt >= changeRecordPeriod {
		v.recordedAt = u
	}
	v.rate = p.nextRate(&v.notice, u)
	return v
}

// nextRate returns the rate after the notice n at the time u. A new limit begins with
// an empty burst, since the backend server may just have got many requests.
func (p *announced) nextRate(n *lavenderridge.HeardNotice, u time.Duration) *RequestRate {
	switch {
	case n.Limited && p.notice.Limited && n.Limit != p.notice.Limit:
		return newRequestRate(n.Limit, p.rate.available(u), u)
	case n.Limited && !p.notice.Limited:
		return newRequestRate(n.Limit, 0, u)
	case !n.Limited && p.notice.Limited:
		return p.rate.released(u)
	}
	return p.rate
}

// source returns where the notice comes from, unless it is the backend server.
func (p *announced) source() string {
	if !p.told {
		return ""
	}
	return ", as reported by " + string(p.notice.Place)
}

// describeChange returns the event and the reason of the change from p to v at the
// time u.
func (p *announced) describeChange(v *announced, u time.Duration) (k, d string) {
	if p == nil || p.notice.Backend != v.notice.Backend {
		p = &announced{sent: &atomic.Int64{}}
	}
	n, o := v.notice, p.notice
	switch {
	case n.Leaving && !o.Leaving:
		return EventLeaving, "the backend server says that it is leaving"
	case n.Invalid && !o.Invalid:
		return "BackendLimitInvalid", "the backend server names a limit that is no decimal number; what held before stays in force"
	case n.Limited && !o.Limited:
		return "BackendLimitNamed", fmt.Sprintf("%g requests a second from all daemons together%s", n.Limit, v.source())
	case !n.Limited && o.Limited:
		return "BackendLimitEnded", fmt.Sprintf("after %s, in which %d requests were sent", (u - p.since).Round(time.Millisecond), p.sent.Load())
	case n.Limit != o.Limit && v.recordedAt == u:
		return "BackendLimitChanged", fmt.Sprintf("%g requests a second from all daemons together, %g before", n.Limit, o.Limit)
	}
	return "", ""
}
