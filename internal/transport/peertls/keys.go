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

// Keys holds a daemon's certificate and the authorities that it trusts. They
// can be replaced while the daemon runs.
type Keys struct {
	current atomic.Pointer[keyPair]
	refused atomic.Uint64
}

type keyPair struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	// unverified tells that any peer is taken at its word.
	unverified bool
}

// NewKeys returns keys with the certificate c that trust the authorities p.
func NewKeys(c *tls.Certificate, p *x509.CertPool) *Keys {
	k := &Keys{}
	k.Replace(c, p)
	return k
}

// Replace puts another certificate and other authorities in force for
// connections made from now on.
func (k *Keys) Replace(c *tls.Certificate, p *x509.CertPool) {
	k.current.Store(&keyPair{certificate: c, authorities: p})
}

// adopt puts the certificate and the authorities of o in force.
func (k *Keys) adopt(o *Keys) {
	k.current.Store(o.current.Load())
}

// NotAfter returns when the certificate in force expires, or the zero time
// when it cannot be read.
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

// Refused returns how many handshakes were refused because the peer had no
// certificate, one of another authority or that of another instance.
func (k *Keys) Refused() uint64 {
	return k.refused.Load()
}

// count counts a refused handshake.
func (k *Keys) count(e error) error {
	if e != nil {
		k.refused.Add(1)
	}
	return e
}

// Server returns the TLS settings of a server that takes any daemon with a
// certificate from a trusted authority. The protocol is a, by ALPN.
func (k *Keys) Server(a string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{a},
		// VerifyConnection below refuses a peer without a certificate as well,
		// and counts it.
		ClientAuth: tls.RequestClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current.Load().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, e := k.Verify(s)
			return k.count(e)
		},
	}
}

// Client returns the TLS settings of a client that takes only the daemon of
// the instance n.
func (k *Keys) Client(a string, n lavenderridge.InstanceID) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{a},
		ServerName: string(n),
		// The name check is replaced by VerifyConnection below, which checks
		// the chain and the instance.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current.Load().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			i, e := k.Verify(s)
			if e == nil && i.Instance != n {
				e = fmt.Errorf("peertls: certificate of %q; want %q", i.Instance, n)
			}
			return k.count(e)
		},
	}
}

// Verify checks the peer's certificate chain and returns its identity.
// Ephemeral keys check no chain.
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
