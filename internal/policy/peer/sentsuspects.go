package peer

import (
	"maps"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// suspectResendPeriod is how long a record counts as known to the daemon to which it
	// was sent. Then it is sent again, in case that the message was lost.
	suspectResendPeriod = 30 * time.Second
	// sameSuspectTolerance is the difference in expiry below which two records of a
	// request are of the same event. It exceeds the transit time of a message.
	sameSuspectTolerance = 2 * time.Second
)

// SentSuspects remembers which suspects each other daemon has been sent or has sent
// itself, so that an exchange contains only those that are new to its receiver.
type SentSuspects struct {
	mutex sync.Mutex
	known map[lavenderridge.InstanceID]*knownSuspects
	// swept is when outdated records were last deleted.
	swept time.Time
}

// knownSuspects holds the records that one incarnation of a daemon knows.
type knownSuspects struct {
	incarnation lavenderridge.Incarnation
	since       time.Time
	records     map[lavenderridge.Fingerprint]knownSuspect
}

// knownSuspect is a record in the form in which a daemon knows it.
type knownSuspect struct {
	quarantined, cleared bool
	// unconfirmed is true if the record was sent in a reply, which may have been lost.
	unconfirmed bool
	expires     time.Time
}

// NewSentSuspects returns an empty memory.
func NewSentSuspects() *SentSuspects {
	return &SentSuspects{known: make(map[lavenderridge.InstanceID]*knownSuspects)}
}

// ForCall returns the records of a that a call to the instance n at the time t contains:
// those that n is not known to have.
func (s *SentSuspects) ForCall(n lavenderridge.InstanceID, a []lavenderridge.Suspect, t time.Time) []lavenderridge.Suspect {
	return s.unknown(n, a, t, func(k *knownSuspect) bool { return !k.unconfirmed })
}

// ForReply returns the records of a that a reply to the instance n at the time t contains:
// those that n is not known to have and that no earlier reply contained. If that reply was
// lost, the next call makes up for it.
func (s *SentSuspects) ForReply(n lavenderridge.InstanceID, a []lavenderridge.Suspect, t time.Time) []lavenderridge.Suspect {
	return s.unknown(n, a, t, func(*knownSuspect) bool { return true })
}

// unknown returns the records of a without those for which the instance n has a record
// that f accepts.
func (s *SentSuspects) unknown(n lavenderridge.InstanceID, a []lavenderridge.Suspect, t time.Time, f func(*knownSuspect) bool) []lavenderridge.Suspect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := s.known[n]
	if k == nil || k.outdated(t) {
		return a
	}
	var r []lavenderridge.Suspect
	for i := range a {
		if o, x := k.records[a[i].Fingerprint]; !x || !f(&o) || !o.covers(&a[i], t) {
			r = append(r, a[i])
		}
	}
	return r
}

// Exchanged records that the incarnation i of the instance n has the records a at the
// time t, because it was sent them or has sent them.
func (s *SentSuspects) Exchanged(n lavenderridge.InstanceID, i lavenderridge.Incarnation, a []lavenderridge.Suspect, t time.Time) {
	s.record(n, i, a, t, false)
}

// Replied records that the incarnation i of the instance n was sent the records a in a
// reply at the time t.
func (s *SentSuspects) Replied(n lavenderridge.InstanceID, i lavenderridge.Incarnation, a []lavenderridge.Suspect, t time.Time) {
	s.record(n, i, a, t, true)
}

// record records that n was sent the records a or has sent them; u is set if it may not have
// received them.
func (s *SentSuspects) record(n lavenderridge.InstanceID, i lavenderridge.Incarnation, a []lavenderridge.Suspect, t time.Time, u bool) {
	if len(a) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sweep(t)
	k := s.known[n]
	if k == nil || k.incarnation != i || k.outdated(t) {
		k = &knownSuspects{incarnation: i, since: t, records: make(map[lavenderridge.Fingerprint]knownSuspect, len(a))}
		s.known[n] = k
	}
	for _, v := range a {
		k.records[v.Fingerprint] = knownSuspect{quarantined: v.Quarantined, cleared: v.Cleared, unconfirmed: u, expires: t.Add(v.Remaining)}
	}
}

// sweep deletes the records that are outdated at the time t, among them those of daemons
// that are gone.
func (s *SentSuspects) sweep(t time.Time) {
	if t.Sub(s.swept) < suspectResendPeriod {
		return
	}
	maps.DeleteFunc(s.known, func(_ lavenderridge.InstanceID, k *knownSuspects) bool { return k.outdated(t) })
	s.swept = t
}

// Restarted forgets what the instance n knew if its incarnation is no longer i.
func (s *SentSuspects) Restarted(n lavenderridge.InstanceID, i lavenderridge.Incarnation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if k := s.known[n]; k != nil && k.incarnation != i {
		delete(s.known, n)
	}
}

// outdated reports whether k no longer counts at the time t.
func (k *knownSuspects) outdated(t time.Time) bool {
	return t.Sub(k.since) >= suspectResendPeriod
}

// covers reports whether a daemon that has the record k needs not be sent v at the time t:
// k is of the same event and in the same state, or of a later event.
func (k *knownSuspect) covers(v *lavenderridge.Suspect, t time.Time) bool {
	d := t.Add(v.Remaining).Sub(k.expires)
	return d <= -sameSuspectTolerance || d < sameSuspectTolerance && k.quarantined == v.Quarantined && k.cleared == v.Cleared
}
