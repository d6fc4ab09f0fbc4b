package peertls

import (
	"time"
)

// ephemeralLifetime exceeds the life of a process by far.
const ephemeralLifetime = 10 * 365 * 24 * time.Hour

// NewEphemeral returns keys that were made at the time t for the daemon i and
// are known to no other. They encrypt what daemons exchange and prove nothing
// of who they are, for platforms that give daemons no key material.
func NewEphemeral(i Identity, t time.Time) (*Keys, error) {
	a, e := NewAuthority(t, ephemeralLifetime)
	if e != nil {
		return nil, e
	}
	c, e := a.Issue(i, t, ephemeralLifetime)
	if e != nil {
		return nil, e
	}
	k := &Keys{}
	k.current.Store(&keyPair{certificate: c, unverified: true})
	return k, nil
}
