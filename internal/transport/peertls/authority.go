package peertls

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"time"
)

const (
	serialBits = 120
	// clockSkew is how long before its issue a certificate is already valid, for
	// daemons whose clocks are behind.
	clockSkew = 5 * time.Minute
)

// An Authority is a certificate authority that signs the certificates of daemons.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key, valid for the duration d from t.
func NewAuthority(t time.Time, d time.Duration) (*Authority, error) {
	k, e := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	m, e := newTemplate("lavenderridge authority", t, d)
	if e != nil {
		return nil, e
	}
	m.IsCA, m.BasicConstraintsValid, m.KeyUsage = true, true, x509.KeyUsageCertSign
	b, e := x509.CreateCertificate(rand.Reader, m, m, &k.PublicKey, k)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	x, e := x509.ParseCertificate(b)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	return &Authority{certificate: x, key: k}, nil
}

// ParseAuthority returns the authority with the PEM certificate c and the PEM
// private key k.
func ParseAuthority(c, k []byte) (*Authority, error) {
	p, e := tls.X509KeyPair(c, k)
	if e != nil {
		return nil, fmt.Errorf("peertls: authority: %w", e)
	}
	s, o := p.PrivateKey.(*ecdsa.PrivateKey)
	if !o || !p.Leaf.IsCA {
		return nil, errors.New("peertls: not an authority's certificate with an ECDSA key")
	}
	return &Authority{certificate: p.Leaf, key: s}, nil
}

// Issue returns a certificate with a new key for the daemon i. It is valid for the
// duration d from t, but no longer than the authority.
func (a *Authority) Issue(i Identity, t time.Time, d time.Duration) (*tls.Certificate, error) {
	k, e := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	return a.sign(k, i, t, d)
}

// Renew returns a certificate for the key and the identity of c. It is valid for
// the duration d from t, but no longer than the authority.
func (a *Authority) Renew(c *tls.Certificate, t time.Time, d time.Duration) (*tls.Certificate, error) {
	i, e := ParseIdentity(c.Leaf)
	if e != nil {
		return nil, e
	}
	k, o := c.PrivateKey.(crypto.Signer)
	if !o {
		return nil, errors.New("peertls: the key cannot sign")
	}
	return a.sign(k, i, t, d)
}

func (a *Authority) sign(k crypto.Signer, i Identity, t time.Time, d time.Duration) (*tls.Certificate, error) {
	m, e := newTemplate(string(i.Instance), t, d)
	if e != nil {
		return nil, e
	}
	if m.NotAfter.After(a.certificate.NotAfter) {
		m.NotAfter = a.certificate.NotAfter
	}
	m.URIs = []*url.URL{i.URL()}
	m.KeyUsage = x509.KeyUsageDigitalSignature
	m.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	b, e := x509.CreateCertificate(rand.Reader, m, a.certificate, k.Public(), a.key)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	x, e := x509.ParseCertificate(b)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	return &tls.Certificate{Certificate: [][]byte{b}, PrivateKey: k, Leaf: x}, nil
}

// EncodeKey returns the PEM form of the authority's private key.
func (a *Authority) EncodeKey() ([]byte, error) {
	return EncodeKey(&tls.Certificate{PrivateKey: a.key})
}

// Certificate returns the authority's own certificate.
func (a *Authority) Certificate() *x509.Certificate {
	return a.certificate
}

// Pool returns a pool that holds only the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.certificate)
	return p
}

// newTemplate returns a template for a certificate with the common name n, valid
// for the duration d from t.
func newTemplate(n string, t time.Time, d time.Duration) (*x509.Certificate, error) {
	s, e := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	return &x509.Certificate{
		SerialNumber: s,
		Subject:      pkix.Name{CommonName: n},
		NotBefore:    t.Add(-clockSkew),
		NotAfter:     t.Add(d),
	}, nil
}
