package peer

import (
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
	expires              time.Time
}

// NewSentSuspects returns an empty memory.
func NewSentSuspects() *SentSuspects {
	return &SentSuspects{known: make(map[lavenderridge.InstanceID]*knownSuspects)}
}

// Unknown returns the records of a that the instance n is not known to have at the time
// t.
func (s *SentSuspects) Unknown(n lavenderridge.InstanceID, a []lavenderridge.Suspect, t time.Time) []lavenderridge.Suspect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := s.known[n]
	if k == nil || len(a) == 0 {
		return a
	}
	if t.Sub(k.since) >= suspectResendPeriod {
		delete(s.known, n)
		return a
	}
	var r []lavenderridge.Suspect
	for i := range a {
		if !k.has(&a[i], t) {
			r = append(r, a[i])
		}
	}
	return r
}

// Exchanged records that the incarnation i of the instance n has the records a at the
// time t, because it was sent them or has sent them.
func (s *SentSuspects) Exchanged(n lavenderridge.InstanceID, i lavenderridge.Incarnation, a []lavenderridge.Suspect, t time.Time) {
	if len(a) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := s.known[n]
	if k == nil || k.incarnation != i {
		k = &knownSuspects{incarnation: i, since: t, records: make(map[lavenderridge.Fingerprint]knownSuspect, len(a))}
		s.known[n] = k
	}
	for _, v := range a {
		k.records[v.Fingerprint] = knownSuspect{quarantined: v.Quarantined, cleared: v.Cleared, expires: t.Add(v.Remaining)}
	}
}

// Restarted forgets what the instance n knew if its incarnation is no longer i.
func (s *SentSuspects) Restarted(n lavenderridge.InstanceID, i lavenderridge.Incarnation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if k := s.known[n]; k != nil && k.incarnation != i {
		delete(s.known, n)
	}
}

// has reports whether the daemon has the record v or one of a later event.
func (k *knownSuspects) has(v *lavenderridge.Suspect, t time.Time) bool {
	o, x := k.records[v.Fingerprint]
	if !x {
		return false
	}
	d := t.Add(v.Remaining).Sub(o.expires)
	return d <= -sameSuspectTolerance || d < sameSuspectTolerance && o.quarantined == v.Quarantined && o.cleared == v.Cleared
}
