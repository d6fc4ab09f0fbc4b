package peertls

import (
	"time"
)

// ephemeralLifetime is far longer than any process runs.
const ephemeralLifetime = 10 * 365 * 24 * time.Hour

// NewEphemeralKeys creates keys for the daemon i, valid from the time t. Their
// authority is known to no other daemon, so no peer can verify the certificate, and
// the keys accept any certificate that names an identity. They encrypt connections
// but authenticate nobody, for platforms that give daemons no key material.
func NewEphemeralKeys(i Identity, t time.Time) (*Keys, error) {
	a, e := NewAuthority(t, ephemeralLifetime)
	if e != nil {
		return nil, e
	}
	c, e := a.Issue(i, t, ephemeralLifetime)
	if e != nil {
		return nil, e
	}
	k := &Keys{}
	k.current.Store(&keyMaterial{certificate: c, unverified: true})
	return k, nil
}
