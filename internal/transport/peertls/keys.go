package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Keys holds a daemon's certificate and private key, and the authorities that the
// daemon trusts. All of them can be replaced while the daemon runs.
type Keys struct {
	current           atomic.Pointer[keyMaterial]
	refusedHandshakes atomic.Uint64
}

// keyMaterial is a certificate with its private key and the trusted authorities,
// which are replaced together.
type keyMaterial struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	// unverified means that the identity in a peer's certificate is accepted without
	// verification.
	unverified bool
}

// NewKeys returns keys with the certificate c that trust the authorities p.
func NewKeys(c *tls.Certificate, p *x509.CertPool) *Keys {
	k := &Keys{}
	k.Replace(c, p)
	return k
}

// Replace replaces the certificate by c and the authorities by p, which later
// handshakes and verifications use. Open connections stay open.
func (k *Keys) Replace(c *tls.Certificate, p *x509.CertPool) {
	k.current.Store(&keyMaterial{certificate: c, authorities: p})
}

// replaceWith replaces the certificate and the authorities by those of o.
func (k *Keys) replaceWith(o *Keys) {
	k.current.Store(o.current.Load())
}

// NotAfter returns when the current certificate expires, or the zero time if the
// certificate can't be parsed.
func (k *Keys) NotAfter() time.Time {
	c := k.current.Load().certificate
	if c.Leaf != nil {
		return c.Leaf.NotAfter
	}
	x, e := x509.ParseCertificate(c.Certificate[0])
	if e != nil {
		return time.Time{}
	}
	return x.NotAfter
}

// RefusedHandshakes returns how many handshakes were refused because the peer's
// certificate was missing, invalid, from another authority or for another instance.
func (k *Keys) RefusedHandshakes() uint64 {
	return k.refusedHandshakes.Load()
}

// countRefusal counts a refused handshake if e is not nil, and returns e.
func (k *Keys) countRefusal(e error) error {
	if e != nil {
		k.refusedHandshakes.Add(1)
	}
	return e
}

// keyExchanges contains the key exchange that Go computes in assembly language on all
// usual machines. A daemon connects to many others within seconds of its start.
var keyExchanges = []tls.CurveID{tls.CurveP256}

// ServerConfig returns the TLS configuration of a server that accepts any daemon
// with a certificate from a trusted authority. It negotiates the protocol a by
// ALPN.
func (k *Keys) ServerConfig(a string) *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: keyExchanges,
		NextProtos:       []string{a},
		// VerifyConnection also refuses a peer without a certificate. A stricter
		// setting here would refuse it uncounted.
		ClientAuth: tls.RequestClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current.Load().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, e := k.Verify(s)
			return k.countRefusal(e)
		},
	}
}

// ClientConfig returns the TLS configuration of a client that accepts only the
// daemon of the instance n as its server. It negotiates the protocol a by ALPN.
func (k *Keys) ClientConfig(a string, n lavenderridge.InstanceID) *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: keyExchanges,
		NextProtos:       []string{a},
		ServerName:       string(n),
		// VerifyConnection checks the certificate chain and the instance instead of
		// the host name.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current.Load().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			i, e := k.Verify(s)
			if e == nil && i.Instance != n {
				e = fmt.Errorf("peertls: the peer's certificate is for instance %q; want %q", i.Instance, n)
			}
			return k.countRefusal(e)
		},
	}
}

// Verify checks the peer's certificate chain and returns the identity in the
// certificate. Ephemeral keys return the identity without checking the chain.
func (k *Keys) Verify(s tls.ConnectionState) (Identity, error) {
	if len(s.PeerCertificates) == 0 {
		return Identity{}, errors.New("peertls: the peer sent no certificate")
	}
	if k.current.Load().unverified {
		return ParseIdentity(s.PeerCertificates[0])
	}
	m := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		m.AddCert(c)
	}
	_, e := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         k.current.Load().authorities,
		Intermediates: m,
		CurrentTime:   time.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if e != nil {
		return Identity{}, fmt.Errorf("peertls: %w", e)
	}
	return ParseIdentity(s.PeerCertificates[0])
}
