package peertls

import (
	"crypto/tls"
	"sync/atomic"
	"time"
)

// verificationLifetime is the time after which the certificate of an open connection
// is verified again, so that an expired one is soon noticed.
const verificationLifetime = 10 * time.Second

// A VerifiedPeer holds the result of the latest successful verification of the peer of
// one connection. It is safe for concurrent use.
type VerifiedPeer struct {
	latest atomic.Pointer[verification]
}

// verification is the identity that a certificate had with some keys. It is valid until
// a time.
type verification struct {
	keys     *keyMaterial
	until    time.Time
	identity Identity
}

// Verify returns the identity of the peer with the connection state s as k.Verify does.
// It verifies the certificate only if the keys have been replaced, or
// verificationLifetime has passed at the time t, since it last did so.
func (p *VerifiedPeer) Verify(k *Keys, s tls.ConnectionState, t time.Time) (Identity, error) {
	m := k.current.Load()
	if v := p.latest.Load(); v != nil && v.keys == m && t.Before(v.until) {
		return v.identity, nil
	}
	i, e := k.Verify(s)
	if e == nil {
		p.latest.Store(&verification{keys: m, until: t.Add(verificationLifetime), identity: i})
	}
	return i, e
}
